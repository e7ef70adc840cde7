package org.damasktiller.decision.fairshare;

import org.damasktiller.identity.JobId;
import org.damasktiller.identity.KindName;
import org.damasktiller.resource.Resources;

/**
 * Holds a job that waits for its start.
 *
 * @param id the job
 * @param kind its kind of work
 * @param size what is to be reserved for it
 * @param submittedMillis when it began to wait, in milliseconds
 */
public record PendingJob(JobId id, KindName kind, Resources size, long submittedMillis) {}
