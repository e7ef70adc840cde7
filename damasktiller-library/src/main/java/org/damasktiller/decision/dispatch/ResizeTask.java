package org.damasktiller.decision.dispatch;

import org.damasktiller.identity.JobId;
import org.damasktiller.identity.WorkerId;
import org.damasktiller.resource.Resources;

/**
 * Changes what a running task may use; less processors throttle it.
 *
 * @param job the job
 * @param worker the worker
 * @param size what is reserved for it from now on
 */
public record ResizeTask(JobId job, WorkerId worker, Resources size) implements DispatchAction {}
