package org.damasktiller.decision.dispatch;

import org.damasktiller.identity.JobId;
import org.damasktiller.identity.WorkerId;
import org.damasktiller.resource.Resources;

/**
 * Starts a job on a worker, after the actions returned before it.
 *
 * @param job the job
 * @param worker the worker
 * @param size what is reserved for it
 */
public record StartTask(JobId job, WorkerId worker, Resources size) implements DispatchAction {}
