package org.damasktiller.table;

import java.util.List;
import java.util.Objects;
import org.damasktiller.identity.KindName;
import org.damasktiller.identity.TenantName;
import org.damasktiller.identity.ZoneName;
import org.damasktiller.resource.Resources;

/**
 * Holds one row of the operators' table. Immutable; a changed row is a new object.
 *
 * @param name the name of the kind, the key of the row
 * @param tenant the tenant that the kind belongs to
 * @param workClass how soon work of the kind has to run
 * @param weight the share of the kind in relation to others of its class, above zero
 * @param minimumSharePercent the part of the workers guaranteed to the kind, 0 to 100 percent
 * @param runningLimit how many tasks or requests of the kind may run at once, zero for no limit
 * @param ratePerSecond how many may start a second, zero for no limit
 * @param declared the declared size of one task or request
 * @param runTimeMillis the declared run time, in milliseconds, zero if not declared
 * @param latencyTargetMillis the target of the 99th percentile, in milliseconds, zero for none
 * @param deadlineMillis the longest time a caller waits, in milliseconds, zero for none
 * @param exclusive whether at most one place may run an item of work at a time
 * @param repeat whether work may be run again
 * @param places the availability zones in which work may run, empty for any
 * @param spill how far from its own zone a request may be sent
 * @param tenantRunningLimit how many tasks or requests of the whole tenant may run at once, zero
 *     for no limit; the same in each row of the tenant
 */
public record KindOfWork(
        KindName name,
        TenantName tenant,
        WorkClass workClass,
        int weight,
        int minimumSharePercent,
        int runningLimit,
        int ratePerSecond,
        Resources declared,
        long runTimeMillis,
        long latencyTargetMillis,
        long deadlineMillis,
        boolean exclusive,
        Repeat repeat,
        List<ZoneName> places,
        Spill spill,
        int tenantRunningLimit) {

    /** Copies the list of places. */
    public KindOfWork {
        places = List.copyOf(places);
    }

    /**
     * Starts to build a row.
     *
     * @param name the name of the kind
     * @param tenant the tenant
     * @return a builder with a batch kind of weight 1 and no limits
     */
    public static Builder builder(KindName name, TenantName tenant) {
        return new Builder(name, tenant);
    }

    /** Builds a row; every setter returns the builder. */
    public static final class Builder {

        /** The name of the kind. */
        private final KindName name;

        /** The tenant. */
        private TenantName tenant;

        /** How soon work of the kind has to run. */
        private WorkClass workClass = WorkClass.BATCH;

        /** The share in relation to other kinds. */
        private int weight = 1;

        /** The guaranteed part, in percent. */
        private int minimumSharePercent;

        /** The limit of running tasks, zero for none. */
        private int runningLimit;

        /** The limit of starts a second, zero for none. */
        private int ratePerSecond;

        /** The declared size. */
        private Resources declared = Resources.NONE;

        /** The declared run time, in milliseconds. */
        private long runTimeMillis;

        /** The latency target, in milliseconds. */
        private long latencyTargetMillis;

        /** The deadline, in milliseconds. */
        private long deadlineMillis;

        /** Whether one place at a time may run an item. */
        private boolean exclusive;

        /** Whether work may be run again. */
        private Repeat repeat = Repeat.IDEMPOTENT;

        /** The availability zones allowed. */
        private List<ZoneName> places = List.of();

        /** How far a request may be sent. */
        private Spill spill = Spill.REGION;

        /** The limit of the whole tenant, zero for none. */
        private int tenantRunningLimit;

        /**
         * Creates a builder.
         *
         * @param name the name of the kind
         * @param tenant the tenant
         */
        private Builder(KindName name, TenantName tenant) {
            this.name = Objects.requireNonNull(name);
            this.tenant = Objects.requireNonNull(tenant);
        }

        /**
         * Sets the value of the same name.
         *
         * @param value the class of the work
         * @return this builder
         */
        public Builder workClass(WorkClass value) {
            workClass = value;
            return this;
        }

        /**
         * Sets the value of the same name.
         *
         * @param value the weight, above zero
         * @return this builder
         */
        public Builder weight(int value) {
            weight = value;
            return this;
        }

        /**
         * Sets the value of the same name.
         *
         * @param value the guaranteed part, 0 to 100 percent
         * @return this builder
         */
        public Builder minimumSharePercent(int value) {
            minimumSharePercent = value;
            return this;
        }

        /**
         * Sets the value of the same name.
         *
         * @param value the limit, zero for none
         * @return this builder
         */
        public Builder runningLimit(int value) {
            runningLimit = value;
            return this;
        }

        /**
         * Sets the value of the same name.
         *
         * @param value the starts a second, zero for no limit
         * @return this builder
         */
        public Builder ratePerSecond(int value) {
            ratePerSecond = value;
            return this;
        }

        /**
         * Sets the value of the same name.
         *
         * @param value the declared size
         * @return this builder
         */
        public Builder declared(Resources value) {
            declared = value;
            return this;
        }

        /**
         * Sets the value of the same name.
         *
         * @param value the declared run time, in milliseconds
         * @return this builder
         */
        public Builder runTimeMillis(long value) {
            runTimeMillis = value;
            return this;
        }

        /**
         * Sets the value of the same name.
         *
         * @param value the target, in milliseconds, zero for none
         * @return this builder
         */
        public Builder latencyTargetMillis(long value) {
            latencyTargetMillis = value;
            return this;
        }

        /**
         * Sets the value of the same name.
         *
         * @param value the deadline, in milliseconds, zero for none
         * @return this builder
         */
        public Builder deadlineMillis(long value) {
            deadlineMillis = value;
            return this;
        }

        /**
         * Sets the value of the same name.
         *
         * @param value whether one place at a time may run an item
         * @return this builder
         */
        public Builder exclusive(boolean value) {
            exclusive = value;
            return this;
        }

        /**
         * Sets the value of the same name.
         *
         * @param value whether work may be run again
         * @return this builder
         */
        public Builder repeat(Repeat value) {
            repeat = value;
            return this;
        }

        /**
         * Sets the value of the same name.
         *
         * @param value the zones allowed, empty for any
         * @return this builder
         */
        public Builder places(List<ZoneName> value) {
            places = value;
            return this;
        }

        /**
         * Sets the value of the same name.
         *
         * @param value how far a request may be sent
         * @return this builder
         */
        public Builder spill(Spill value) {
            spill = value;
            return this;
        }

        /**
         * Sets the value of the same name.
         *
         * @param value how many tasks or requests of the tenant may run at once, zero for no limit
         * @return this builder
         */
        public Builder tenantRunningLimit(int value) {
            tenantRunningLimit = value;
            return this;
        }

        /**
         * Replaces the tenant.
         *
         * @param value the tenant
         * @return this builder
         */
        Builder tenant(TenantName value) {
            tenant = value;
            return this;
        }

        /**
         * Replaces the processors of the declared size.
         *
         * @param value thousandths of a processor
         * @return this builder
         */
        Builder milliProcessors(long value) {
            declared = new Resources(value, declared.memoryMegabytes(), declared.accelerators());
            return this;
        }

        /**
         * Replaces the memory of the declared size.
         *
         * @param value megabytes
         * @return this builder
         */
        Builder memoryMegabytes(long value) {
            declared = new Resources(declared.milliProcessors(), value, declared.accelerators());
            return this;
        }

        /**
         * Replaces the accelerators of the declared size.
         *
         * @param value whole accelerators
         * @return this builder
         */
        Builder accelerators(int value) {
            declared = new Resources(declared.milliProcessors(), declared.memoryMegabytes(), value);
            return this;
        }

        /**
         * Builds the row.
         *
         * @return the row
         */
        public KindOfWork build() {
            return new KindOfWork(
                    name,
                    tenant,
                    workClass,
                    weight,
                    minimumSharePercent,
                    runningLimit,
                    ratePerSecond,
                    declared,
                    runTimeMillis,
                    latencyTargetMillis,
                    deadlineMillis,
                    exclusive,
                    repeat,
                    places,
                    spill,
                    tenantRunningLimit);
        }
    }
}
