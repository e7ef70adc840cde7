package org.damasktiller.lab.rig;

import com.google.common.collect.ImmutableMap;
import java.nio.file.Path;
import java.util.Map;
import org.damasktiller.scheduler.model.Resources;

/**
 * The size of a local deployment.
 *
 * @param zones the region of each availability zone
 * @param entryVms the number of entry VMs
 * @param workers the number of workers
 * @param capacity what each worker has
 * @param directory where settings and logs go
 */
public record RigSettings(
        Map<String, String> zones, int entryVms, int workers, Resources capacity, Path directory) {

    /**
     * Starts to describe a deployment.
     *
     * @param directory where settings and logs go
     * @return a builder with three availability zones in two regions
     */
    public static Builder builder(Path directory) {
        return new Builder(directory);
    }

    /** Describes a deployment; every setter returns the builder. */
    public static final class Builder {

        /** Where settings and logs go. */
        private final Path directory;

        /** The region of each availability zone. */
        private Map<String, String> zones =
                ImmutableMap.of("zone-1", "region-1", "zone-2", "region-1", "zone-3", "region-2");

        /** The number of entry VMs. */
        private int entryVms = 3;

        /** The number of workers. */
        private int workers = 12;

        /** What each worker has. */
        private Resources capacity = new Resources(16_000, 64_000, 1);

        /**
         * Creates a builder.
         *
         * @param directory where settings and logs go
         */
        Builder(Path directory) {
            this.directory = directory;
        }

        /**
         * Sets the availability zones.
         *
         * @param value the region of each availability zone
         * @return the builder
         */
        public Builder zones(Map<String, String> value) {
            zones = value;
            return this;
        }

        /**
         * Sets the number of entry VMs.
         *
         * @param value the number
         * @return the builder
         */
        public Builder entryVms(int value) {
            entryVms = value;
            return this;
        }

        /**
         * Sets the number of workers.
         *
         * @param value the number
         * @return the builder
         */
        public Builder workers(int value) {
            workers = value;
            return this;
        }

        /**
         * Sets what each worker has.
         *
         * @param value the resources
         * @return the builder
         */
        public Builder capacity(Resources value) {
            capacity = value;
            return this;
        }

        /**
         * Describes the deployment.
         *
         * @return the description
         */
        public RigSettings build() {
            return new RigSettings(zones, entryVms, workers, capacity, directory);
        }
    }
}
