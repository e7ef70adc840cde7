package org.damasktiller.standin.claim;

/**
 * Sets the times of a harness.
 *
 * @param tickMillis how often each process gets a tick, in milliseconds
 * @param storeDelayMillis how long the store takes each way, in milliseconds
 * @param peerDelayMillis how long a message between processes takes, in milliseconds
 * @param deadlineMillis how long a caller waits for the answer to one try, in milliseconds
 * @param pauseMillis how long a pause lasts, in milliseconds
 * @param lateMillis how much later something late arrives, in milliseconds
 * @param outageMillis how long an outage or a partition lasts, in milliseconds
 * @param replaceMillis how long a dead process is missing, in milliseconds
 */
public record ClaimTimes(
        long tickMillis,
        long storeDelayMillis,
        long peerDelayMillis,
        long deadlineMillis,
        long pauseMillis,
        long lateMillis,
        long outageMillis,
        long replaceMillis) {

    /** Times for quick runs with leases of a few seconds. */
    public static final ClaimTimes DEFAULT =
            new ClaimTimes(100, 2, 1, 3_000, 7_000, 2_500, 6_000, 1_000);
}
