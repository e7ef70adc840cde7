package org.damasktiller.decision.placement;

import org.damasktiller.identity.JobId;
import org.damasktiller.identity.WorkerId;
import org.damasktiller.resource.Resources;

/**
 * Holds what is reserved for a job.
 *
 * @param job the job
 * @param kind the number of its kind
 * @param worker the worker
 * @param size what is reserved
 */
public record Reservation(JobId job, int kind, WorkerId worker, Resources size) {}
