package org.damasktiller.scheduler.cell;

import org.damasktiller.scheduler.policy.PolicySet;

/** The intervals, timeouts and limits of a cell's owner. */
public final class CellSettings {

    /** How long a worker may run tasks without a new lease from the owner, in milliseconds. */
    private final long workerLeaseMillis;

    /** The longest lease that workers accept, in milliseconds. */
    private final long maximumWorkerLeaseMillis;

    /**
     * How long the store keeps the leased keys of a process that no longer renews, in milliseconds.
     */
    private final long storeLeaseMillis;

    /**
     * How long worker leases may last after the last successful ownership check, in milliseconds.
     */
    private final long ownershipValidityMillis;

    /** How long a worker may delay its answer to a poll until a run ends, in milliseconds. */
    private final long pollWaitMillis;

    /** The delay before a worker is polled again after a failed poll, in milliseconds. */
    private final long pollRetryMillis;

    /** The longest value of the store, in bytes. */
    private final int valueBytes;

    /**
     * The memory that the open submissions of a cell may take before entry VMs accept no more for
     * it, in bytes.
     */
    private final long openWorkBytes;

    /** The shortest time between two commits, in milliseconds. */
    private final long commitIntervalMillis;

    /** The time between two ownership checks, in milliseconds. */
    private final long ownershipCheckIntervalMillis;

    /**
     * Half the time between two ticks of the owner, in milliseconds; each tick schedules a pass
     * over the waiting tasks.
     */
    private final long halfTickMillis;

    /** How long before its due time an occurrence may start, in milliseconds. */
    private final long earlyStartMillis;

    /**
     * How long a serving task may exceed its target latency before fillers must pause, in
     * milliseconds.
     */
    private final long maximumOverTargetMillis;

    /**
     * The age of a worker's entry from which on workers that do not guard their capacity get no
     * starts, in milliseconds.
     */
    private final long maximumEntryAgeMillis;

    /**
     * How soon after its acknowledgement an evacuation of a zone must be in effect, in
     * milliseconds, or 0 if zones are not evacuated.
     */
    private final long evacuationBoundMillis;

    /** The policies that are in force. */
    private final PolicySet policies;

    /**
     * How many times as long a step takes if it runs away from its data, or a gang if it spans
     * racks; given by the platform's settings.
     */
    private final double remoteFactor;

    /**
     * Creates the settings.
     *
     * @param builder the source of the values
     */
    private CellSettings(Builder builder) {
        workerLeaseMillis = builder.workerLeaseMillis;
        maximumWorkerLeaseMillis = builder.maximumWorkerLeaseMillis;
        storeLeaseMillis = builder.storeLeaseMillis;
        ownershipValidityMillis = builder.ownershipValidityMillis;
        pollWaitMillis = builder.pollWaitMillis;
        pollRetryMillis = builder.pollRetryMillis;
        valueBytes = builder.valueBytes;
        openWorkBytes = builder.openWorkBytes;
        commitIntervalMillis = builder.commitIntervalMillis;
        ownershipCheckIntervalMillis = builder.ownershipCheckIntervalMillis;
        halfTickMillis = builder.halfTickMillis;
        earlyStartMillis = builder.earlyStartMillis;
        maximumOverTargetMillis = builder.maximumOverTargetMillis;
        maximumEntryAgeMillis = builder.maximumEntryAgeMillis;
        evacuationBoundMillis = builder.evacuationBoundMillis;
        policies = builder.policies;
        remoteFactor = builder.remoteFactor;
    }

    /**
     * Creates a builder.
     *
     * @return a builder with the default values
     */
    public static Builder builder() {
        return new Builder();
    }

    /**
     * Returns how long a worker may run tasks without a new lease from the owner.
     *
     * @return the time, in milliseconds
     */
    public long workerLeaseMillis() {
        return workerLeaseMillis;
    }

    /**
     * Returns the longest lease that workers accept.
     *
     * @return the time, in milliseconds
     */
    public long maximumWorkerLeaseMillis() {
        return maximumWorkerLeaseMillis;
    }

    /**
     * Returns how long the store keeps the leased keys of a process that no longer renews its
     * lease.
     *
     * @return the time, in milliseconds
     */
    public long storeLeaseMillis() {
        return storeLeaseMillis;
    }

    /**
     * Returns how long worker leases may last after the last successful ownership check.
     *
     * @return the time, in milliseconds
     */
    public long ownershipValidityMillis() {
        return ownershipValidityMillis;
    }

    /**
     * Returns how long a worker may delay its answer to a poll until a run ends.
     *
     * @return the time, in milliseconds
     */
    public long pollWaitMillis() {
        return pollWaitMillis;
    }

    /**
     * Returns the delay before a worker is polled again after a failed poll.
     *
     * @return the time, in milliseconds
     */
    public long pollRetryMillis() {
        return pollRetryMillis;
    }

    /**
     * Returns the longest value of the store.
     *
     * @return the length, in bytes
     */
    public int valueBytes() {
        return valueBytes;
    }

    /**
     * Returns the memory that the open submissions of a cell may take before entry VMs accept no
     * more for it.
     *
     * @return the memory, in bytes
     */
    public long openWorkBytes() {
        return openWorkBytes;
    }

    /**
     * Returns the shortest time between two commits.
     *
     * @return the time, in milliseconds
     */
    public long commitIntervalMillis() {
        return commitIntervalMillis;
    }

    /**
     * Returns the time between two ownership checks.
     *
     * @return the time, in milliseconds
     */
    public long ownershipCheckIntervalMillis() {
        return ownershipCheckIntervalMillis;
    }

    /**
     * Returns half the time between two ticks of the owner; each tick schedules a pass over the
     * waiting tasks.
     *
     * @return the time, in milliseconds
     */
    public long halfTickMillis() {
        return halfTickMillis;
    }

    /**
     * Returns how long before its due time an occurrence may start.
     *
     * @return the time, in milliseconds
     */
    public long earlyStartMillis() {
        return earlyStartMillis;
    }

    /**
     * Returns how long a serving task may exceed its target latency before fillers must pause.
     *
     * @return the time, in milliseconds
     */
    public long maximumOverTargetMillis() {
        return maximumOverTargetMillis;
    }

    /**
     * Returns the age of a worker's entry from which on workers that do not guard their capacity
     * get no starts.
     *
     * @return the age, in milliseconds
     */
    public long maximumEntryAgeMillis() {
        return maximumEntryAgeMillis;
    }

    /**
     * Returns how soon after its acknowledgement an evacuation of a zone must be in effect.
     *
     * @return the time, in milliseconds, or 0 if zones are not evacuated
     */
    public long evacuationBoundMillis() {
        return evacuationBoundMillis;
    }

    /**
     * Returns the policies that are in force.
     *
     * @return the policies
     */
    public PolicySet policies() {
        return policies;
    }

    /**
     * Returns how many times as long a step takes if it runs away from its data, or a gang if it
     * spans racks.
     *
     * @return the factor, 1 for no slowdown
     */
    public double remoteFactor() {
        return remoteFactor;
    }

    /** Builds settings. */
    public static final class Builder {

        /**
         * The default lease of a worker. It outlasts the time until the store lease of a failed
         * owner has expired and a successor has started, and is short enough to restart the tasks
         * of a lost worker elsewhere soon.
         */
        private long workerLeaseMillis = 4_500;

        /** The default longest lease that workers accept. */
        private long maximumWorkerLeaseMillis = 6_000;

        /**
         * The default store lease: it survives two lost renewals and still allows a quick takeover.
         */
        private long storeLeaseMillis = 2_000;

        /**
         * The default validity of an ownership check: it bridges a store outage of several seconds.
         */
        private long ownershipValidityMillis = 7_000;

        /** The default wait of a poll: it yields two measurements per task and second. */
        private long pollWaitMillis = 500;

        /** The default delay after a failed poll: twice the round trip between regions. */
        private long pollRetryMillis = 120;

        /** The default length of the longest value, given by the platform's documentation. */
        private int valueBytes = 1_048_576;

        /** The default memory of open submissions: half of the heap. */
        private long openWorkBytes = Runtime.getRuntime().maxMemory() / 2;

        /** The default time between commits: they use 1/14 of the smallest store's write rate. */
        private long commitIntervalMillis = 35;

        /** The default time between ownership checks: a quarter of the default store lease. */
        private long ownershipCheckIntervalMillis = 500;

        /** The default half tick: short compared with the shortest task. */
        private long halfTickMillis = 25;

        /** The default lead of occurrences: 0, no occurrence starts before its due time. */
        private long earlyStartMillis;

        /** The default limit of the time over target, given by the platform's documentation. */
        private long maximumOverTargetMillis = 4_000;

        /** See {@link CellSettings#maximumEntryAgeMillis()}. */
        private long maximumEntryAgeMillis = 4_000;

        /** See {@link CellSettings#evacuationBoundMillis()}; zones are not evacuated by default. */
        private long evacuationBoundMillis;

        /** See {@link CellSettings#policies()}; all by default. */
        private PolicySet policies = PolicySet.ALL;

        /** The default slowdown of steps away from their data and of gangs across racks. */
        private double remoteFactor = 2;

        /** Creates a builder with the default values. */
        private Builder() {}

        /**
         * Sets the longest value of the store.
         *
         * @param bytes the length, in bytes
         * @return this builder
         */
        public Builder valueBytes(int bytes) {
            valueBytes = bytes;
            return this;
        }

        /**
         * Sets the memory that the open submissions of a cell may take before entry VMs accept no
         * more for it.
         *
         * @param bytes the memory, in bytes, greater than 0
         * @return this builder
         */
        public Builder openWorkBytes(long bytes) {
            openWorkBytes = bytes;
            return this;
        }

        /**
         * Sets how long a worker may run tasks without a new lease from the owner.
         *
         * @param millis the time, in milliseconds
         * @return this builder
         */
        public Builder workerLeaseMillis(long millis) {
            workerLeaseMillis = millis;
            return this;
        }

        /**
         * Sets the longest lease that workers accept, and shortens the worker lease to it.
         *
         * @param millis the longest lease that workers accept, in milliseconds
         * @return this builder
         */
        public Builder maximumWorkerLeaseMillis(long millis) {
            maximumWorkerLeaseMillis = millis;
            workerLeaseMillis = Math.min(workerLeaseMillis, millis);
            return this;
        }

        /**
         * Lengthens the store lease if it is below the shortest lease that the store grants.
         *
         * @param millis the shortest lease that the store grants, in milliseconds
         * @return this builder
         */
        public Builder minimumStoreLeaseMillis(long millis) {
            storeLeaseMillis = Math.max(storeLeaseMillis, millis);
            return this;
        }

        /**
         * Sets how long worker leases may last after the last successful ownership check.
         *
         * @param millis the time, in milliseconds
         * @return this builder
         */
        public Builder ownershipValidityMillis(long millis) {
            ownershipValidityMillis = millis;
            return this;
        }

        /**
         * Sets how long a worker may delay its answer to a poll until a run ends.
         *
         * @param millis the time, in milliseconds
         * @return this builder
         */
        public Builder pollWaitMillis(long millis) {
            pollWaitMillis = millis;
            return this;
        }

        /**
         * Sets how long a serving task may exceed its target latency before fillers must pause.
         *
         * @param millis the time, in milliseconds
         * @return this builder
         */
        public Builder maximumOverTargetMillis(long millis) {
            maximumOverTargetMillis = millis;
            return this;
        }

        /**
         * Sets the age of a worker's entry from which on workers that do not guard their capacity
         * get no starts: how long a process may be without contact to the store.
         *
         * @param millis the age, in milliseconds
         * @return this builder
         */
        public Builder maximumEntryAgeMillis(long millis) {
            maximumEntryAgeMillis = millis;
            return this;
        }

        /**
         * Sets how soon after its acknowledgement an evacuation of a zone must be in effect.
         *
         * @param millis the time, in milliseconds, or 0 if zones are not evacuated
         * @return this builder
         */
        public Builder evacuationBoundMillis(long millis) {
            evacuationBoundMillis = millis;
            return this;
        }

        /**
         * Sets the policies that are in force.
         *
         * @param enabled the policies
         * @return this builder
         */
        public Builder policies(PolicySet enabled) {
            policies = enabled;
            return this;
        }

        /**
         * Sets how many times as long a step takes if it runs away from its data, or a gang if it
         * spans racks.
         *
         * @param factor the factor, 1 for no slowdown
         * @return this builder
         */
        public Builder remoteFactor(double factor) {
            remoteFactor = factor;
            return this;
        }

        /**
         * Builds the settings.
         *
         * @return the settings
         */
        public CellSettings build() {
            return new CellSettings(this);
        }
    }
}
