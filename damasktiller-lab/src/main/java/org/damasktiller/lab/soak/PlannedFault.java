package org.damasktiller.lab.soak;

/**
 * A fault of a soak as it is planned before the run.
 *
 * @param startMillis the time from the end of the warm-up to the beginning of the fault, in
 *     milliseconds
 * @param durationMillis the duration of the fault, in milliseconds
 * @param seed the seed from which the kind, the target and the parameters of the fault are drawn
 */
record PlannedFault(long startMillis, long durationMillis, long seed) {}
