package org.damasktiller.decision.health;

/**
 * Holds the settings of probation.
 *
 * @param failuresToSuspect how many different jobs must fail in a row, at least 1
 * @param firstProbationMillis the length of the first probation, in milliseconds
 * @param longestProbationMillis the length at which the doubling ends, in milliseconds
 * @param successesToReadmit how many jobs must succeed in a trial
 * @param largestPartPercent the largest part of the fleet on probation or trial, in percent, since
 *     a cause common to many workers is not the fault of one
 */
public record HealthSettings(
        int failuresToSuspect,
        long firstProbationMillis,
        long longestProbationMillis,
        int successesToReadmit,
        int largestPartPercent) {

    /** The settings for ordinary use. */
    public static final HealthSettings ORDINARY = new HealthSettings(3, 60_000, 3_600_000, 2, 20);
}
