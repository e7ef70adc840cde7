package org.damasktiller.lab.rig;

import com.google.common.collect.ImmutableMap;
import org.damasktiller.identity.RegionName;
import org.damasktiller.identity.ZoneName;
import org.damasktiller.scheduler.model.Resources;

/** Describes the two deployments of today. */
public enum Deployment {
    /** Merged dispatch in Leinster and Connacht. */
    CORRIB(
            45,
            64_000,
            250_000,
            ImmutableMap.of(
                    "leinster-1", "leinster",
                    "leinster-2", "leinster",
                    "connacht-1", "connacht")),
    /** Shaking-table reduction in Muntenia and Banat. */
    CARPATICA(
            33,
            16_000,
            60_000,
            ImmutableMap.of(
                    "muntenia-1", "muntenia",
                    "muntenia-2", "muntenia",
                    "banat-1", "banat"));

    /** The number of workers. */
    private final int workers;

    /** The thousandths of a processor of each worker. */
    private final long milliProcessors;

    /** The memory of each worker, in megabytes. */
    private final long memoryMegabytes;

    /** The name of the region of each availability zone. */
    private final ImmutableMap<String, String> zones;

    /**
     * Creates a deployment.
     *
     * @param workers the number of workers
     * @param milliProcessors the thousandths of a processor of each worker
     * @param memoryMegabytes the memory of each worker, in megabytes
     * @param zones the name of the region of each availability zone
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
     * Returns the availability zones with their regions, in order.
     *
     * @return the region of each zone
     */
    public ImmutableMap<ZoneName, RegionName> zones() {
        ImmutableMap.Builder<ZoneName, RegionName> result = ImmutableMap.builder();
        zones.forEach((zone, region) -> result.put(new ZoneName(zone), new RegionName(region)));
        return result.buildOrThrow();
    }

    /**
     * Returns the names of the availability zones with those of their regions, in order.
     *
     * @return the region of each zone
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
     * Returns what each worker has.
     *
     * @return the amounts
     */
    public Resources capacity() {
        return new Resources(milliProcessors, memoryMegabytes, 0);
    }
}
