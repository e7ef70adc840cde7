package org.damasktiller.decision.guard;

import org.damasktiller.identity.JobId;

/**
 * Describes a batch task beside a guarded service.
 *
 * @param job the job
 * @param harm the predicted slowdown that the task causes the service at its present speed
 * @param speedPercent the part of its processors that the task may use, 100 if not throttled
 * @param workAtRiskMillis the processor time that an eviction would lose, in milliseconds
 * @param evictable whether the task may be stopped and continued elsewhere
 */
public record GuardedTask(
        JobId job, double harm, int speedPercent, long workAtRiskMillis, boolean evictable) {}
