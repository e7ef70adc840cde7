package org.damasktiller.decision.guard;

import org.damasktiller.identity.JobId;
import org.damasktiller.identity.WorkerId;

/**
 * Stops a task with a checkpoint, to be continued elsewhere.
 *
 * @param worker the worker
 * @param job the job
 */
public record EvictTask(WorkerId worker, JobId job) implements GuardAction {}
