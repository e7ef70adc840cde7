package org.damasktiller.standin.cell;

/**
 * Sets the times of a harness.
 *
 * @param tickMillis how often each owner gets a tick, in milliseconds
 * @param storeDelayMillis how long the store takes each way, in milliseconds
 * @param workerDelayMillis how long a worker takes each way, in milliseconds
 * @param listMillis how often the list of workers is read, in milliseconds
 * @param pauseMillis how long a pause lasts, in milliseconds
 * @param lateMillis how much later something late arrives, in milliseconds
 * @param outageMillis how long an outage or a partition lasts, in milliseconds
 * @param replaceMillis how long a dead process is missing until another takes its place, in
 *     milliseconds
 */
public record HarnessTimes(
        long tickMillis,
        long storeDelayMillis,
        long workerDelayMillis,
        long listMillis,
        long pauseMillis,
        long lateMillis,
        long outageMillis,
        long replaceMillis) {

    /** Times for quick runs with leases of a few seconds. */
    public static final HarnessTimes DEFAULT =
            new HarnessTimes(100, 2, 1, 1_000, 9_000, 3_000, 8_000, 2_000);
}
