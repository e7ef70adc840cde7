package org.damasktiller.worker;

/**
 * Sets the allowed speed of a running attempt.
 *
 * @param permit the authority of the sender
 * @param attempt the attempt
 * @param speedPercent the allowed speed, 1 to 100 percent
 */
public record ThrottleCommand(Permit permit, AttemptId attempt, int speedPercent)
        implements FencedCommand {}
