package org.damasktiller.decision.health;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.damasktiller.identity.ZoneName;
import org.damasktiller.resource.Resources;

/** Knows the sizes of workers in each zone, to tell which jobs can never run. */
public final class FleetLimits {

    /** The different sizes of workers in each zone, with their number. */
    private final Map<ZoneName, Map<Resources, Integer>> zones = new HashMap<>();

    /** Creates the limits of a fleet without workers. */
    public FleetLimits() {}

    /**
     * Adds a worker.
     *
     * @param zone its zone
     * @param capacity its capacity
     */
    public void add(ZoneName zone, Resources capacity) {
        zones.computeIfAbsent(zone, key -> new HashMap<>()).merge(capacity, 1, Integer::sum);
    }

    /**
     * Removes a worker.
     *
     * @param zone its zone
     * @param capacity its capacity
     */
    public void remove(ZoneName zone, Resources capacity) {
        Map<Resources, Integer> sizes = zones.get(zone);
        if (sizes != null) {
            sizes.computeIfPresent(capacity, (size, count) -> count == 1 ? null : count - 1);
        }
    }

    /**
     * Tells why a job can never run, if so.
     *
     * @param size the size of the job
     * @param places the zones allowed, empty for any
     * @return the reason, with what is asked and what the workers have; empty if it can run
     */
    public Optional<String> reasonAgainst(Resources size, List<ZoneName> places) {
        List<Resources> sizes = new ArrayList<>();
        for (ZoneName zone : places.isEmpty() ? zones.keySet() : places) {
            sizes.addAll(zones.getOrDefault(zone, Map.of()).keySet());
        }
        if (sizes.isEmpty()) {
            return Optional.of("no worker in the zones allowed: " + places);
        }
        if (sizes.stream().anyMatch(size::fitsWithin)) {
            return Optional.empty();
        }
        return Optional.of("asks for " + size + ", but the workers allowed have " + sizes);
    }

    /**
     * Returns the largest amount of each resource that any worker has.
     *
     * @return the amounts, not necessarily of one worker
     */
    public Resources largest() {
        long processors = 0;
        long memory = 0;
        int accelerators = 0;
        for (Map<Resources, Integer> sizes : zones.values()) {
            for (Resources size : sizes.keySet()) {
                processors = Math.max(processors, size.milliProcessors());
                memory = Math.max(memory, size.memoryMegabytes());
                accelerators = Math.max(accelerators, size.accelerators());
            }
        }
        return new Resources(processors, memory, accelerators);
    }
}
