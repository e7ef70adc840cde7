package org.damasktiller.worker;

import org.jspecify.annotations.Nullable;

/**
 * Asks for the start of one attempt.
 *
 * @param attempt the attempt
 * @param task what to run
 * @param checkpoint where to continue from, or null to run from the beginning
 */
public record TaskStart(AttemptId attempt, TaskSpec task, @Nullable Checkpoint checkpoint) {}
