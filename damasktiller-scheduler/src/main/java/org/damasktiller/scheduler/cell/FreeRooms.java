package org.damasktiller.scheduler.cell;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.damasktiller.scheduler.model.Resources;
import org.damasktiller.scheduler.placement.WorkerRoom;

/** Sums up the free room of a cell's workers for the owners of other cells. */
final class FreeRooms {

    /** The free room of a worker is rounded down to this part of its capacity. */
    private static final int ROUNDING_DIVISOR = 8;

    /** The shared state of the cell's owner. */
    private final CellContext context;

    /** Knows which workers are kept for urgent tasks. */
    private final WorkerSelector workerSelector;

    /** Sums up what tasks of steps that several cells share take of the room. */
    private final DividedSteps dividedSteps;

    /**
     * Creates a summary of the cell's workers.
     *
     * @param context the shared state of the cell's owner
     * @param workerSelector knows which workers are kept for urgent tasks
     */
    FreeRooms(CellContext context, WorkerSelector workerSelector) {
        this.context = context;
        this.workerSelector = workerSelector;
        this.dividedSteps = new DividedSteps(context);
    }

    /**
     * Returns the free room of the workers that may get long-running tasks now.
     *
     * @return the room
     */
    CellRoom sumUp() {
        long now = context.now();
        Map<WorkerRecord, WorkerRoom> roomsByWorker = new HashMap<>();
        Map<String, WorkerRoom> rooms = new TreeMap<>();
        for (WorkerRecord worker : context.allWorkers()) {
            if (isOpen(worker, now)) {
                Resources free = roundedFree(worker);
                List<String> labels = worker.entry.labels().stream().sorted().toList();
                WorkerRoom room = new WorkerRoom(free, labels, 1);
                roomsByWorker.put(worker, room);
                rooms.merge(
                        free + " " + labels,
                        room,
                        (known, one) ->
                                new WorkerRoom(known.free(), known.labels(), known.workers() + 1));
            }
        }
        return new CellRoom(new ArrayList<>(rooms.values()), dividedSteps.list(roomsByWorker));
    }

    /**
     * Returns whether a worker may get long-running tasks now.
     *
     * @param worker the worker
     * @param nowMillis the current time, in milliseconds
     * @return whether no rule excludes it, whatever the task
     */
    private boolean isOpen(WorkerRecord worker, long nowMillis) {
        return context.mayStartOn(worker, nowMillis)
                && nowMillis >= worker.fullUntilMillis
                && !worker.failureDetector.isSuspect(nowMillis)
                && !(worker.failureDetector.isOnProbation() && worker.hasProbe())
                && worker.quarantine() == Quarantine.NONE
                && worker.isRoomKnown()
                && !workerSelector.isKeptForUrgentTasks(worker);
    }

    /**
     * Returns the free room of a worker, rounded down so that it changes seldom.
     *
     * @param worker the worker
     * @return the room
     */
    private static Resources roundedFree(WorkerRecord worker) {
        Resources capacity = worker.entry.capacity();
        Resources free = capacity.minus(worker.reserved);
        return new Resources(
                round(free.cpuMillicores(), capacity.cpuMillicores()),
                round(free.memoryMb(), capacity.memoryMb()),
                Math.max(0, free.accelerators()));
    }

    /**
     * Rounds an amount down to a part of the capacity.
     *
     * @param free the free amount, negative if the capacity has shrunk
     * @param capacity the capacity
     * @return the rounded amount, not negative
     */
    private static long round(long free, long capacity) {
        long part = Math.max(1, capacity / ROUNDING_DIVISOR);
        return free >= capacity ? capacity : Math.max(0, free / part * part);
    }
}
