package org.damasktiller.scheduler.cell;

import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.damasktiller.scheduler.model.Resources;
import org.damasktiller.scheduler.placement.WorkerRoom;

/**
 * What the owner of a cell publishes to all entry VMs: how many submissions of each route wait for
 * their first start, and which tasks the workers can hold.
 *
 * @param byRoute the counts by route name; a route without waiting submissions has no entry
 * @param largestWorkers the capacities of the largest workers, empty if they are not known
 * @param generation the generation of the owner
 * @param rooms the free room of the workers, empty if the service has no other cell
 */
public record PendingRecord(
        Map<String, Integer> byRoute,
        List<Resources> largestWorkers,
        long generation,
        List<WorkerRoom> rooms) {

    /** Copies the counts, sorted by route name, and the lists, which older records lack. */
    @SuppressWarnings("ConstantConditions")
    public PendingRecord {
        byRoute = new TreeMap<>(byRoute);
        largestWorkers = largestWorkers == null ? List.of() : List.copyOf(largestWorkers);
        rooms = rooms == null ? List.of() : List.copyOf(rooms);
    }
}
