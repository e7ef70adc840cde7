package org.damasktiller.lab.rig;

import com.google.common.collect.ImmutableMap;
import org.damasktiller.identity.RegionName;
import org.damasktiller.identity.ZoneName;
import org.damasktiller.scheduler.model.Resources;

/**
 * The production deployments, with the availability zones and the workers that a local run
 * emulates.
 */
public enum Deployment {
    /** Runs merged dispatch in the regions Leinster and Connacht. */
    CORRIB(
            45,
            64_000,
            250_000,
            ImmutableMap.of(
                    "leinster-1", "leinster",
                    "leinster-2", "leinster",
                    "connacht-1", "connacht")),
    /** Runs shaking-table reduction in the regions Muntenia and Banat. */
    CARPATICA(
            33,
            16_000,
            60_000,
            ImmutableMap.of(
                    "muntenia-1", "muntenia",
                    "muntenia-2", "muntenia",
                    "banat-1", "banat"));

    /** The number of workers in all zones together. */
    private final int workers;

    /** The processor capacity of each worker, in thousandths of a processor. */
    private final long milliProcessors;

    /** The memory capacity of each worker, in megabytes. */
    private final long memoryMegabytes;

    /** The names of the regions by the names of their availability zones. */
    private final ImmutableMap<String, String> zones;

    /**
     * Creates a deployment.
     *
     * @param workers the number of workers in all zones together
     * @param milliProcessors the processor capacity of each worker, in thousandths of a processor
     * @param memoryMegabytes the memory capacity of each worker, in megabytes
     * @param zones the names of the regions by the names of their availability zones
     */
    Deployment(
            int workers,
            long milliProcessors,
            long memoryMegabytes,
            ImmutableMap<String, String> zones) {
        this.workers = workers;
        this.milliProcessors = milliProcessors;
        this.memoryMegabytes = memoryMegabytes;
        this.zones = zones;
    }

    /**
     * Returns the availability zones with their regions, in the order in which workers are assigned
     * to them.
     *
     * @return the regions by zone
     */
    public ImmutableMap<ZoneName, RegionName> zones() {
        ImmutableMap.Builder<ZoneName, RegionName> result = ImmutableMap.builder();
        zones.forEach((zone, region) -> result.put(new ZoneName(zone), new RegionName(region)));
        return result.buildOrThrow();
    }

    /**
     * Returns the names of the availability zones and of their regions, in the order in which
     * workers are assigned to them.
     *
     * @return the regions by zone
     */
    public ImmutableMap<String, String> zoneNames() {
        return zones;
    }

    /**
     * Returns the number of workers in all zones together.
     *
     * @return the number of workers
     */
    public int workers() {
        return workers;
    }

    /**
     * Returns the capacity of each worker, without accelerators.
     *
     * @return the resources
     */
    public Resources capacity() {
        return new Resources(milliProcessors, memoryMegabytes, 0);
    }
}
