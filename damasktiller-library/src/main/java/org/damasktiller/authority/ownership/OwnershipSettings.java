package org.damasktiller.authority.ownership;

/**
 * Sets the times of an ownership.
 *
 * @param leaseMillis how long the store lease lasts without a renewal, in milliseconds
 * @param renewMillis how often the lease is renewed, in milliseconds, less than the lease
 * @param pollMillis how often a standby looks for the owner's record, in milliseconds
 * @param takeoverDelayMillis how long a standby waits after it first found the record absent, in
 *     milliseconds; a standby of a lower rank waits longer
 * @param outageGraceMillis how long an owner acts on without an answer of the store, in
 *     milliseconds
 * @param leaseOfTasksMillis how long the leases last that an owner grants to tasks, in milliseconds
 * @param clockMarginMillis by how much two clocks may differ over these times, in milliseconds
 */
public record OwnershipSettings(
        long leaseMillis,
        long renewMillis,
        long pollMillis,
        long takeoverDelayMillis,
        long outageGraceMillis,
        long leaseOfTasksMillis,
        long clockMarginMillis) {

    /** Settings that ride out a store outage of twelve hours. */
    public static final OwnershipSettings DEFAULT =
            new OwnershipSettings(6_000, 2_000, 1_000, 0, 12 * 3_600_000L, 20_000, 2_000);

    /** Checks that the lease outlasts its renewal. */
    public OwnershipSettings {
        if (renewMillis >= leaseMillis) {
            throw new IllegalArgumentException("the lease must outlast its renewal interval");
        }
    }

    /**
     * Returns how long after the lapse of its lease anything an owner granted may still run.
     *
     * @return the time, in milliseconds
     */
    public long graceMillis() {
        return outageGraceMillis + leaseOfTasksMillis + clockMarginMillis;
    }
}
