package org.damasktiller.lab.soak;

/**
 * Settings of a soak run.
 *
 * @param seed the seed of the random number generator that draws the faults and the load
 * @param seconds the duration of the phase in which faults begin, in seconds
 * @param directory the directory that gets a subdirectory with settings and logs for each seed
 */
public record SoakSettings(long seed, long seconds, String directory) {}
