package org.damasktiller.table;

import java.util.List;
import java.util.Objects;
import org.damasktiller.identity.KindName;
import org.damasktiller.identity.TenantName;
import org.damasktiller.identity.ZoneName;
import org.damasktiller.resource.Resources;

/**
 * Holds one row of the operators' table: the priority, limits, resources and placement of one kind
 * of work. Instances are immutable.
 *
 * @param name the name of the kind, the key of the row
 * @param tenant the team on whose behalf work of the kind is submitted
 * @param workClass how soon work of the kind has to start
 * @param weight the share of the kind relative to other kinds of its class, above zero
 * @param minimumSharePercent the share of all workers guaranteed to the kind, 0 to 100 percent
 * @param runningLimit the maximum number of tasks or requests of the kind that run concurrently, or
 *     0 for no limit
 * @param ratePerSecond the maximum number of starts per second, or 0 for no limit
 * @param declaredResources the resources that the operators declare for one task or request
 * @param runTimeMillis the declared run time of a task, in milliseconds, or 0 if none is declared
 * @param latencyTargetMillis the target for the 99th percentile of the latency, in milliseconds, or
 *     0 for none
 * @param deadlineMillis how long a caller waits at most, in milliseconds, or 0 for no deadline
 * @param exclusive whether an item of work may run in at most one place at a time
 * @param repeatPolicy whether and how work may be run again
 * @param allowedZones the availability zones in which work may run; empty for any zone
 * @param spillScope how far from its own availability zone a request may be sent
 * @param tenantRunningLimit the maximum number of tasks or requests of the whole tenant that run
 *     concurrently, or 0 for no limit; each row of a tenant states the same limit
 */
public record KindOfWork(
        KindName name,
        TenantName tenant,
        WorkClass workClass,
        int weight,
        int minimumSharePercent,
        int runningLimit,
        int ratePerSecond,
        Resources declaredResources,
        long runTimeMillis,
        long latencyTargetMillis,
        long deadlineMillis,
        boolean exclusive,
        RepeatPolicy repeatPolicy,
        List<ZoneName> allowedZones,
        SpillScope spillScope,
        int tenantRunningLimit) {

    /** Makes an immutable copy of the list of zones. */
    public KindOfWork {
        allowedZones = List.copyOf(allowedZones);
    }

    /**
     * Creates a builder of a row with the defaults of all optional columns.
     *
     * @param name the name of the kind
     * @param tenant the tenant
     * @return a builder of an idempotent batch kind of weight 1 without limits
     */
    public static Builder builder(KindName name, TenantName tenant) {
        return new Builder(name, tenant);
    }

    /** Builds a row. A column that is not set keeps its default. */
    public static final class Builder {

        /** The name of the kind. */
        private final KindName name;

        /** The team on whose behalf the work is submitted. */
        private TenantName tenant;

        /** How soon work of the kind has to start. */
        private WorkClass workClass = WorkClass.BATCH;

        /** The share relative to other kinds of the class. */
        private int weight = 1;

        /** The guaranteed share of all workers, in percent. */
        private int minimumSharePercent;

        /** The limit of concurrently running tasks or requests, or 0 for none. */
        private int runningLimit;

        /** The limit of starts per second, or 0 for none. */
        private int ratePerSecond;

        /** The declared resources of one task or request. */
        private Resources declaredResources = Resources.NONE;

        /** The declared run time, in milliseconds, or 0 if none is declared. */
        private long runTimeMillis;

        /** The target for the 99th percentile of the latency, in milliseconds, or 0 for none. */
        private long latencyTargetMillis;

        /** How long a caller waits at most, in milliseconds, or 0 for no deadline. */
        private long deadlineMillis;

        /** Whether an item of work may run in at most one place at a time. */
        private boolean exclusive;

        /** Whether and how work may be run again. */
        private RepeatPolicy repeatPolicy = RepeatPolicy.IDEMPOTENT;

        /** The availability zones in which work may run; empty for any zone. */
        private List<ZoneName> allowedZones = List.of();

        /** How far from its own availability zone a request may be sent. */
        private SpillScope spillScope = SpillScope.REGION;

        /** The limit of concurrently running tasks or requests of the tenant, or 0 for none. */
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
         * Sets how soon work of the kind has to start.
         *
         * @param value the priority class
         * @return this builder
         */
        public Builder workClass(WorkClass value) {
            workClass = value;
            return this;
        }

        /**
         * Sets the share relative to other kinds of the class.
         *
         * @param value the weight, above zero
         * @return this builder
         */
        public Builder weight(int value) {
            weight = value;
            return this;
        }

        /**
         * Sets the share of all workers guaranteed to the kind.
         *
         * @param value the guaranteed share, 0 to 100 percent
         * @return this builder
         */
        public Builder minimumSharePercent(int value) {
            minimumSharePercent = value;
            return this;
        }

        /**
         * Sets the limit of concurrently running tasks or requests of the kind.
         *
         * @param value the limit, or 0 for none
         * @return this builder
         */
        public Builder runningLimit(int value) {
            runningLimit = value;
            return this;
        }

        /**
         * Sets the limit of starts per second.
         *
         * @param value the starts per second, or 0 for no limit
         * @return this builder
         */
        public Builder ratePerSecond(int value) {
            ratePerSecond = value;
            return this;
        }

        /**
         * Sets the resources declared for one task or request.
         *
         * @param value the declared resources
         * @return this builder
         */
        public Builder declaredResources(Resources value) {
            declaredResources = value;
            return this;
        }

        /**
         * Sets the declared run time of a task.
         *
         * @param value the run time, in milliseconds, or 0 if none is declared
         * @return this builder
         */
        public Builder runTimeMillis(long value) {
            runTimeMillis = value;
            return this;
        }

        /**
         * Sets the target for the 99th percentile of the latency.
         *
         * @param value the target, in milliseconds, or 0 for none
         * @return this builder
         */
        public Builder latencyTargetMillis(long value) {
            latencyTargetMillis = value;
            return this;
        }

        /**
         * Sets how long a caller waits at most.
         *
         * @param value the deadline, in milliseconds, or 0 for none
         * @return this builder
         */
        public Builder deadlineMillis(long value) {
            deadlineMillis = value;
            return this;
        }

        /**
         * Sets whether an item of work may run in at most one place at a time.
         *
         * @param value true if an item must not run in two places at once
         * @return this builder
         */
        public Builder exclusive(boolean value) {
            exclusive = value;
            return this;
        }

        /**
         * Sets whether and how work may be run again.
         *
         * @param value the rule for repeated runs
         * @return this builder
         */
        public Builder repeatPolicy(RepeatPolicy value) {
            repeatPolicy = value;
            return this;
        }

        /**
         * Sets the availability zones in which work may run.
         *
         * @param value the zones; empty for any zone
         * @return this builder
         */
        public Builder allowedZones(List<ZoneName> value) {
            allowedZones = value;
            return this;
        }

        /**
         * Sets how far from its own availability zone a request may be sent.
         *
         * @param value the widest scope allowed
         * @return this builder
         */
        public Builder spillScope(SpillScope value) {
            spillScope = value;
            return this;
        }

        /**
         * Sets the limit of concurrently running tasks or requests of the whole tenant.
         *
         * @param value the limit, or 0 for none
         * @return this builder
         */
        public Builder tenantRunningLimit(int value) {
            tenantRunningLimit = value;
            return this;
        }

        /**
         * Sets the team on whose behalf the work is submitted.
         *
         * @param value the tenant
         * @return this builder
         */
        Builder tenant(TenantName value) {
            tenant = value;
            return this;
        }

        /**
         * Sets the processors of the declared resources.
         *
         * @param value the processors, in thousandths
         * @return this builder
         */
        Builder milliProcessors(long value) {
            declaredResources =
                    new Resources(
                            value,
                            declaredResources.memoryMegabytes(),
                            declaredResources.accelerators());
            return this;
        }

        /**
         * Sets the memory of the declared resources.
         *
         * @param value the memory, in megabytes
         * @return this builder
         */
        Builder memoryMegabytes(long value) {
            declaredResources =
                    new Resources(
                            declaredResources.milliProcessors(),
                            value,
                            declaredResources.accelerators());
            return this;
        }

        /**
         * Sets the accelerators of the declared resources.
         *
         * @param value the number of accelerators
         * @return this builder
         */
        Builder accelerators(int value) {
            declaredResources =
                    new Resources(
                            declaredResources.milliProcessors(),
                            declaredResources.memoryMegabytes(),
                            value);
            return this;
        }

        /**
         * Creates the row from the values set so far.
         *
         * @return an immutable row
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
                    declaredResources,
                    runTimeMillis,
                    latencyTargetMillis,
                    deadlineMillis,
                    exclusive,
                    repeatPolicy,
                    allowedZones,
                    spillScope,
                    tenantRunningLimit);
        }
    }
}
