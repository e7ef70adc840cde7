package org.damasktiller.decision.guard;

/**
 * Holds the settings of the guard.
 *
 * @param maximumAgeMillis the age above which a reading is stale, in milliseconds
 * @param settleMillis how long an action takes to show, in milliseconds
 * @param readingsToThrottle how many readings in a row over the limit lead to throttling
 * @param readingsToEvict how many readings in a row over the limit lead to an eviction when nothing
 *     is left to throttle
 * @param readingsToRelease how many readings in a row below the release pressure end a throttling
 * @param releasePressure the pressure below which a throttling may end
 * @param smallestHarm the predicted slowdown below which a task is left alone
 * @param evictionIntervalMillis the least time between two evictions on a worker, in milliseconds
 */
public record GuardSettings(
        long maximumAgeMillis,
        long settleMillis,
        int readingsToThrottle,
        int readingsToEvict,
        int readingsToRelease,
        double releasePressure,
        double smallestHarm,
        long evictionIntervalMillis) {

    /** The settings for ordinary use. */
    public static final GuardSettings ORDINARY =
            new GuardSettings(45_000, 1000, 1, 3, 3, 0.9, 0.01, 300_000);
}
