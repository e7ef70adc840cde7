package org.damasktiller.scheduler.cell;

/** The times and bounds by which the owner of a cell works. */
public final class CellSettings {

    /** How long a worker may run things without hearing from the owner, in milliseconds. */
    private final long workerLeaseMillis;

    /** How long the keys of a silent process live in the store, in milliseconds. */
    private final long storeLeaseMillis;

    /** How long a proof of ownership lets the owner lengthen leases, in milliseconds. */
    private final long authorityMillis;

    /** How long a look waits for an end, in milliseconds. */
    private final long lookWaitMillis;

    /** The pause between looks at a worker that does not answer, in milliseconds. */
    private final long lookRetryMillis;

    /** The least time between two commits, in milliseconds. */
    private final long commitIntervalMillis;

    /** The time between two checks of the ownership, in milliseconds. */
    private final long confirmIntervalMillis;

    /** The time between two passes over waiting work, in milliseconds. */
    private final long passIntervalMillis;

    /** How early an occurrence may start, in milliseconds. */
    private final long earlyMillis;

    /** For how long a serving task may be over its target before fillers must pause. */
    private final long impactMillis;

    /**
     * How many times as long a step takes away from its data, or a gang across racks; from the
     * platform's settings.
     */
    private final double remoteFactor;

    /**
     * Creates the settings.
     *
     * @param builder has the values
     */
    private CellSettings(Builder builder) {
        workerLeaseMillis = builder.workerLeaseMillis;
        storeLeaseMillis = builder.storeLeaseMillis;
        authorityMillis = builder.authorityMillis;
        lookWaitMillis = builder.lookWaitMillis;
        lookRetryMillis = builder.lookRetryMillis;
        commitIntervalMillis = builder.commitIntervalMillis;
        confirmIntervalMillis = builder.confirmIntervalMillis;
        passIntervalMillis = builder.passIntervalMillis;
        earlyMillis = builder.earlyMillis;
        impactMillis = builder.impactMillis;
        remoteFactor = builder.remoteFactor;
    }

    /**
     * Starts to build settings from the defaults.
     *
     * @return a builder
     */
    public static Builder builder() {
        return new Builder();
    }

    /**
     * Returns how long a worker may run things without hearing from the owner.
     *
     * @return the time, in milliseconds
     */
    public long workerLeaseMillis() {
        return workerLeaseMillis;
    }

    /**
     * Returns how long the keys of a silent process live in the store.
     *
     * @return the time, in milliseconds
     */
    public long storeLeaseMillis() {
        return storeLeaseMillis;
    }

    /**
     * Returns how long a proof of ownership lets the owner lengthen leases.
     *
     * @return the time, in milliseconds
     */
    public long authorityMillis() {
        return authorityMillis;
    }

    /**
     * Returns how long a look waits for an end.
     *
     * @return the time, in milliseconds
     */
    public long lookWaitMillis() {
        return lookWaitMillis;
    }

    /**
     * Returns the pause between looks at a worker that does not answer.
     *
     * @return the time, in milliseconds
     */
    public long lookRetryMillis() {
        return lookRetryMillis;
    }

    /**
     * Returns the least time between two commits.
     *
     * @return the time, in milliseconds
     */
    public long commitIntervalMillis() {
        return commitIntervalMillis;
    }

    /**
     * Returns the time between two checks of the ownership.
     *
     * @return the time, in milliseconds
     */
    public long confirmIntervalMillis() {
        return confirmIntervalMillis;
    }

    /**
     * Returns the time between two passes over waiting work.
     *
     * @return the time, in milliseconds
     */
    public long passIntervalMillis() {
        return passIntervalMillis;
    }

    /**
     * Returns how early an occurrence may start.
     *
     * @return the time, in milliseconds
     */
    public long earlyMillis() {
        return earlyMillis;
    }

    /**
     * Returns for how long a serving task may be over its target before fillers must pause.
     *
     * @return the time, in milliseconds
     */
    public long impactMillis() {
        return impactMillis;
    }

    /**
     * Returns how many times as long a step takes away from its data.
     *
     * @return the factor
     */
    public double remoteFactor() {
        return remoteFactor;
    }

    /** Builds settings. */
    public static final class Builder {

        /**
         * The default lease of a worker: long enough for the store's lease of a dead owner to end
         * and a successor to start, short enough to start its work elsewhere soon.
         */
        private long workerLeaseMillis = 4_500;

        /** See the settings: long enough for two lost renewals, short for a quick takeover. */
        private long storeLeaseMillis = 2_000;

        /** The default time of a proof of ownership: an outage of the store of some seconds. */
        private long authorityMillis = 7_000;

        /** The default wait of a look: two figures a second of each task. */
        private long lookWaitMillis = 500;

        /** The default pause between looks in vain: the round trip between regions, doubled. */
        private long lookRetryMillis = 120;

        /** The default pause between commits: a fourteenth of the smallest store's writes. */
        private long commitIntervalMillis = 35;

        /** The default pause between checks: a fraction of the store's lease. */
        private long confirmIntervalMillis = 500;

        /** The default pause between passes: short beside the shortest task. */
        private long passIntervalMillis = 25;

        /** The default bound of early starts: none before the time. */
        private long earlyMillis;

        /** The default bound of time over target, from the platform's pages. */
        private long impactMillis = 4_000;

        /** The default factor of remote data. */
        private double remoteFactor = 2;

        /** Creates a builder with the defaults. */
        private Builder() {}

        /**
         * Sets how long a worker may run things without hearing from the owner.
         *
         * @param millis the time, in milliseconds
         * @return this builder
         */
        public Builder workerLeaseMillis(long millis) {
            workerLeaseMillis = millis;
            return this;
        }

        /**
         * Bounds the lease of workers by the longest that they grant.
         *
         * @param millis the longest, in milliseconds
         * @return this builder
         */
        public Builder longestWorkerLeaseMillis(long millis) {
            workerLeaseMillis = Math.min(workerLeaseMillis, millis);
            return this;
        }

        /**
         * Bounds the lease of a process's keys by the shortest that the store grants.
         *
         * @param millis the shortest, in milliseconds
         * @return this builder
         */
        public Builder shortestStoreLeaseMillis(long millis) {
            storeLeaseMillis = Math.max(storeLeaseMillis, millis);
            return this;
        }

        /**
         * Sets how long a proof of ownership lets the owner lengthen leases.
         *
         * @param millis the time, in milliseconds
         * @return this builder
         */
        public Builder authorityMillis(long millis) {
            authorityMillis = millis;
            return this;
        }

        /**
         * Sets how long a look waits for an end.
         *
         * @param millis the time, in milliseconds
         * @return this builder
         */
        public Builder lookWaitMillis(long millis) {
            lookWaitMillis = millis;
            return this;
        }

        /**
         * Sets for how long a serving task may be over its target.
         *
         * @param millis the time, in milliseconds
         * @return this builder
         */
        public Builder impactMillis(long millis) {
            impactMillis = millis;
            return this;
        }

        /**
         * Sets how many times as long a step takes away from its data.
         *
         * @param factor the factor
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
