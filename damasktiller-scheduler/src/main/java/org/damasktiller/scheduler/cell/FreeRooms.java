package org.damasktiller.scheduler.cell;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.Map;
import java.util.TreeMap;
import org.damasktiller.scheduler.model.Resources;
import org.damasktiller.scheduler.placement.WorkerRoom;

/** Sums up the free room of a cell's workers for the owners of other cells. */
final class FreeRooms {

    /** The free room of a worker is rounded down to this part of its capacity. */
    private static final int ROUNDING_DIVISOR = 8;

    /** The fraction of its CPU below which a worker may get a filler that has waited for long. */
    private static final double IDLE_FRACTION = 0.5;

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
     * Returns the free room of the workers that may get long-running tasks now, and of those that
     * are idle.
     *
     * @return the room
     */
    CellRoom sumUp() {
        long now = context.now();
        Map<WorkerRecord, WorkerRoom> roomsByWorker = new HashMap<>();
        Map<String, WorkerRoom> rooms = new TreeMap<>();
        Map<String, WorkerRoom> idleRooms = new TreeMap<>();
        for (WorkerRecord worker : context.allWorkers()) {
            if (!isOpen(worker, now)) {
                continue;
            }
            if (!workerSelector.isKeptForUrgentTasks(worker)) {
                WorkerRoom room = roomOf(worker, worker.reserved);
                roomsByWorker.put(worker, room);
                add(rooms, room);
            }
            Resources used = worker.reserved.plus(new Resources(worker.fillerMillicores(), 0, 0));
            if (!worker.throttleState.paused
                    && used.cpuMillicores()
                            < IDLE_FRACTION * worker.entry.capacity().cpuMillicores()) {
                add(idleRooms, roomOf(worker, used));
            }
        }
        return new CellRoom(
                new ArrayList<>(rooms.values()),
                dividedSteps.list(roomsByWorker),
                new ArrayList<>(idleRooms.values()));
    }

    /**
     * Adds the room of a worker to that of others with the same room and labels.
     *
     * @param rooms the rooms
     * @param room the room of the worker
     */
    private static void add(Map<String, WorkerRoom> rooms, WorkerRoom room) {
        rooms.merge(
                room.free() + " " + room.labels(),
                room,
                (known, one) -> new WorkerRoom(known.free(), known.labels(), known.workers() + 1));
    }

    /**
     * Returns whether a worker may get tasks now.
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
                && worker.isRoomKnown();
    }

    /**
     * Returns the free room of a worker, rounded down so that it changes seldom.
     *
     * @param worker the worker
     * @param used what is not free
     * @return the room
     */
    private static WorkerRoom roomOf(WorkerRecord worker, Resources used) {
        Resources capacity = worker.entry.capacity();
        Resources free = capacity.minus(used);
        Resources rounded =
                new Resources(
                        round(free.cpuMillicores(), capacity.cpuMillicores()),
                        round(free.memoryMb(), capacity.memoryMb()),
                        Math.max(0, free.accelerators()));
        return new WorkerRoom(rounded, worker.entry.labels().stream().sorted().toList(), 1);
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
