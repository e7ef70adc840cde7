package org.damasktiller.worker;

import org.damasktiller.resource.Resources;

/**
 * Reports a running attempt.
 *
 * @param attempt the attempt
 * @param resources the amounts reserved for it
 * @param speedPercent the allowed speed, 100 if it is not throttled
 */
public record RunningTask(AttemptId attempt, Resources resources, int speedPercent) {}
