package org.damasktiller.worker;

/**
 * Reports an attempt that ran to its end. The worker keeps the report until it is acknowledged.
 *
 * @param attempt the attempt
 * @param succeeded whether the task succeeded
 * @param result the result or the reason of the failure, opaque to the system
 */
public record FinishedTask(AttemptId attempt, boolean succeeded, String result) {}
