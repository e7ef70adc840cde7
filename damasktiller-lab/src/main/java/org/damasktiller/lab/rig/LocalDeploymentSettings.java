package org.damasktiller.lab.rig;

import com.google.common.collect.ImmutableMap;
import java.nio.file.Path;
import java.util.Map;
import org.damasktiller.scheduler.model.Resources;
import org.damasktiller.scheduler.policy.PolicySet;

/**
 * Settings of a local deployment.
 *
 * @param zones the regions by availability zone; workers and entry VMs are distributed over the
 *     zones in this order
 * @param entryVms the number of entry VMs
 * @param workers the number of workers
 * @param capacity the resources of each worker
 * @param policies the policies that are in force
 * @param limits the memory and the descriptors of each entry VM
 * @param directory the existing directory for the settings and logs of the entry VMs
 */
public record LocalDeploymentSettings(
        Map<String, String> zones,
        int entryVms,
        int workers,
        Resources capacity,
        PolicySet policies,
        ProcessLimits limits,
        Path directory) {

    /**
     * Creates a builder of settings.
     *
     * @param directory the existing directory for the settings and logs of the entry VMs
     * @return a builder whose defaults are three availability zones in two regions, three entry VMs
     *     and twelve workers
     */
    public static Builder builder(Path directory) {
        return new Builder(directory);
    }

    /** Builds the settings of a local deployment. */
    public static final class Builder {

        /** The existing directory for the settings and logs of the entry VMs. */
        private final Path directory;

        /** The regions by availability zone. */
        private Map<String, String> zones =
                ImmutableMap.of("zone-1", "region-1", "zone-2", "region-1", "zone-3", "region-2");

        /** The number of entry VMs. */
        private int entryVms = 3;

        /** The number of workers. */
        private int workers = 12;

        /** The resources of each worker. */
        private Resources capacity = new Resources(16_000, 64_000, 1);

        /** The policies that are in force. */
        private PolicySet policies = PolicySet.ALL;

        /** The memory and the descriptors of each entry VM. */
        private ProcessLimits limits = ProcessLimits.DEPLOYED;

        /**
         * Creates a builder with the default values.
         *
         * @param directory the existing directory for the settings and logs of the entry VMs
         */
        Builder(Path directory) {
            this.directory = directory;
        }

        /**
         * Sets the availability zones.
         *
         * @param value the regions by availability zone
         * @return this builder
         */
        public Builder zones(Map<String, String> value) {
            zones = value;
            return this;
        }

        /**
         * Sets the number of entry VMs.
         *
         * @param value the number
         * @return this builder
         */
        public Builder entryVms(int value) {
            entryVms = value;
            return this;
        }

        /**
         * Sets the number of workers.
         *
         * @param value the number
         * @return this builder
         */
        public Builder workers(int value) {
            workers = value;
            return this;
        }

        /**
         * Sets the resources of each worker.
         *
         * @param value the resources
         * @return this builder
         */
        public Builder capacity(Resources value) {
            capacity = value;
            return this;
        }

        /**
         * Sets the policies that are in force.
         *
         * @param value the policies
         * @return this builder
         */
        public Builder policies(PolicySet value) {
            policies = value;
            return this;
        }

        /**
         * Sets the memory and the descriptors of each entry VM.
         *
         * @param value the limits
         * @return this builder
         */
        public Builder limits(ProcessLimits value) {
            limits = value;
            return this;
        }

        /**
         * Builds the settings.
         *
         * @return the settings
         */
        public LocalDeploymentSettings build() {
            return new LocalDeploymentSettings(
                    zones, entryVms, workers, capacity, policies, limits, directory);
        }
    }
}
