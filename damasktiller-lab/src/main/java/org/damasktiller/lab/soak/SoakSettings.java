package org.damasktiller.lab.soak;

/**
 * What a soak does.
 *
 * @param seed the seed of the plan of faults and of the load
 * @param seconds how long faults come, in seconds
 * @param directory where the settings and logs of each seed go
 */
public record SoakSettings(long seed, long seconds, String directory) {}
