package org.damasktiller.lab.soak;

/**
 * Settings of a soak run.
 *
 * @param seed the seed of the random number generator that draws the faults and the load
 * @param seconds the duration of the phase in which faults begin, in seconds
 * @param planned whether the only faults are planned work: restarts of the owner's entry VM and
 *     replacements of workers; long-running tasks must then be interrupted for a limited time only
 * @param directory the directory that gets a subdirectory with settings and logs for each seed
 */
public record SoakSettings(long seed, long seconds, boolean planned, String directory) {}
