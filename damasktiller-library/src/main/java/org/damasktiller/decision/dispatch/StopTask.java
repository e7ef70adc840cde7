package org.damasktiller.decision.dispatch;

import org.damasktiller.identity.JobId;
import org.damasktiller.identity.WorkerId;

/**
 * Stops a task with a checkpoint. Its room stays reserved until its end is reported.
 *
 * @param job the job
 * @param worker the worker
 */
public record StopTask(JobId job, WorkerId worker) implements DispatchAction {}
