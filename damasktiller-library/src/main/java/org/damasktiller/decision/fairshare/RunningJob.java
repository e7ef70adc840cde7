package org.damasktiller.decision.fairshare;

import org.damasktiller.resource.Resources;

/**
 * Holds what was charged for a running job.
 *
 * @param kind the kind of the job
 * @param reserved what is reserved for it
 * @param chargedMillis the run time that was charged ahead, in milliseconds
 * @param sinceMillis since when the reservation has had this size, in milliseconds
 */
record RunningJob(KindQueue kind, Resources reserved, long chargedMillis, long sinceMillis) {}
