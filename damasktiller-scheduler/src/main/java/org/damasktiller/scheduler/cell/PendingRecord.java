package org.damasktiller.scheduler.cell;

import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.damasktiller.scheduler.model.Resources;
import org.damasktiller.scheduler.placement.DividedStep;
import org.damasktiller.scheduler.placement.WorkerRoom;
import org.jspecify.annotations.Nullable;

/**
 * What the owner of a cell publishes to all entry VMs: how many submissions of each route wait for
 * their first start, and which tasks the workers can hold.
 *
 * @param byRoute the counts by route name; a route without waiting submissions has no entry
 * @param largestWorkers the capacities of the largest workers, empty if they are not known
 * @param generation the generation of the owner
 * @param rooms the free room of the workers, empty if the service has no other cell
 * @param dividedSteps what tasks of steps that several cells share take of that room; a step
 *     without an entry has an unknown share
 * @param idleRooms the room of workers of which less than half is in use, or null if the owner
 *     takes no submissions from other cells, as those of earlier releases
 * @param memoryPercent how much of the memory for open submissions is in use or asked for, in
 *     percent rounded down to tens; 0 from an owner of an earlier release
 * @param ordinaryPercent the same without the large submissions that wait to be loaded, or null
 *     from an owner of an earlier release
 */
public record PendingRecord(
        Map<String, Integer> byRoute,
        List<Resources> largestWorkers,
        long generation,
        List<WorkerRoom> rooms,
        List<DividedStep> dividedSteps,
        @Nullable List<WorkerRoom> idleRooms,
        int memoryPercent,
        @Nullable Integer ordinaryPercent) {

    /** The use of the memory for open submissions from which on the cell is full, in percent. */
    private static final int FULL_PERCENT = 100;

    /** Copies the counts, sorted by route name, and the lists, which older records lack. */
    @SuppressWarnings("ConstantConditions")
    public PendingRecord {
        byRoute = new TreeMap<>(byRoute);
        largestWorkers = largestWorkers == null ? List.of() : List.copyOf(largestWorkers);
        rooms = rooms == null ? List.of() : List.copyOf(rooms);
        dividedSteps = dividedSteps == null ? List.of() : List.copyOf(dividedSteps);
        idleRooms = idleRooms == null ? null : List.copyOf(idleRooms);
    }

    /**
     * Returns whether the owner has no memory for further submissions that are large.
     *
     * @return whether entry VMs should accept no large ones for the cell
     */
    public boolean isFull() {
        return memoryPercent >= FULL_PERCENT;
    }

    /**
     * Returns whether the owner has no memory for further submissions of any size. The name has no
     * prefix by which the record would be stored with a property of that name.
     *
     * @return whether entry VMs should accept none for the cell
     */
    public boolean refusesAll() {
        Integer percent = ordinaryPercent;
        return percent == null ? isFull() : percent >= FULL_PERCENT;
    }

    /**
     * Returns how many slots of the room tasks of a step take or may still take.
     *
     * @param step the name of the step
     * @param tasks the number of tasks of the step that have their home in the cell now
     * @return the number of slots, one for each task if the owner has not published their share
     */
    int slotsTaken(String step, int tasks) {
        for (DividedStep divided : dividedSteps) {
            if (divided.step().equals(step)) {
                return divided.slotsTaken(tasks);
            }
        }
        return tasks;
    }
}
