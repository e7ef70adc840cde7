package org.damasktiller.worker;

import org.jspecify.annotations.Nullable;

/**
 * Reports an attempt that was stopped before its end, by command or because its lease lapsed. The
 * worker keeps the report until it is acknowledged.
 *
 * @param attempt the attempt
 * @param checkpoint where the job can continue, or null if nothing was kept
 */
public record StoppedTask(AttemptId attempt, @Nullable Checkpoint checkpoint) {}
