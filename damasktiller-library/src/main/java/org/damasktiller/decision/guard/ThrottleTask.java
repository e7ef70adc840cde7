package org.damasktiller.decision.guard;

import org.damasktiller.identity.JobId;
import org.damasktiller.identity.WorkerId;

/**
 * Sets the speed of a task.
 *
 * @param worker the worker
 * @param job the job
 * @param speedPercent the part of its processors that the task may use, 100 to end the throttling
 */
public record ThrottleTask(WorkerId worker, JobId job, int speedPercent) implements GuardAction {}
