package org.damasktiller.scheduler.cell;

import java.util.List;
import org.damasktiller.scheduler.model.Resources;
import org.damasktiller.scheduler.placement.LargestWorkers;
import org.damasktiller.scheduler.policy.Policy;
import org.jspecify.annotations.Nullable;

/**
 * Publishes the pending counts, the largest workers and the free room of the cell in the store.
 *
 * <p>The capacity of a worker counts once the worker has answered this owner under its identifier,
 * and from then on for the whole term: any client of the store may have written an entry behind
 * which there is no worker. For some seconds after the entries were first read, those of workers
 * that have not answered yet count as well, so that a new owner rejects no submission for a large
 * worker that answers late.
 */
final class CountPublisher {

    /** The time between two publications, in milliseconds. */
    private static final long PUBLISH_INTERVAL_MILLIS = 500;

    /**
     * How long after the first reading of the entries the workers that have not answered count, in
     * milliseconds.
     */
    private static final long FIRST_ANSWER_MILLIS = 10_000;

    /**
     * The step in which the use of the memory for open submissions is published, in percent, which
     * bounds how often it changes.
     */
    private static final int MEMORY_STEP_PERCENT = 10;

    /** The shortest time between two changes of the published room, in milliseconds. */
    private static final long ROOMS_INTERVAL_MILLIS = 1_000;

    /** The shared state of the cell's owner. */
    private final CellContext context;

    /** Counts the pending submissions. */
    private final JobTracker jobTracker;

    /** Sums up the free room of the workers. */
    private final FreeRooms freeRooms;

    /** The free room that is published, or about to be. */
    private CellRoom room = CellRoom.NONE;

    /** When the free room was last summed up, in milliseconds. */
    private long roomsAtMillis;

    /** The largest workers that have answered in this term. */
    private final LargestWorkers largestWorkers = new LargestWorkers();

    /** Whether all entries of workers have been read. */
    private boolean workersRead;

    /** When all entries of workers were first read, in milliseconds. */
    private long workersReadAtMillis;

    /** Stores what is published. */
    private final RewrittenRecord storedRecord;

    /** What is published, or about to be, or null if nothing is. */
    private @Nullable PendingRecord published;

    /**
     * Creates a publisher that has published nothing.
     *
     * @param context the shared state of the cell's owner
     * @param jobTracker counts the pending submissions
     * @param freeRooms sums up the free room of the workers
     */
    CountPublisher(CellContext context, JobTracker jobTracker, FreeRooms freeRooms) {
        this.context = context;
        this.jobTracker = jobTracker;
        this.freeRooms = freeRooms;
        this.storedRecord =
                new RewrittenRecord(
                        context,
                        CellKeys.pending(context.cell),
                        "counts.unsaved",
                        PUBLISH_INTERVAL_MILLIS);
    }

    /**
     * Adds a worker of the cell if it has answered. To be called after its first answer and after
     * its entry has changed.
     *
     * @param worker the worker
     */
    void addWorker(WorkerRecord worker) {
        if (worker.answeredAtMillis >= 0) {
            largestWorkers.add(worker.entry.capacity());
        }
    }

    /** Records that the entries of all workers of the cell have been read. */
    void onWorkersRead() {
        if (!workersRead) {
            workersRead = true;
            workersReadAtMillis = context.now();
        }
    }

    /**
     * Publishes the counts, the largest workers and the free room if they have changed, and
     * schedules the next check.
     */
    void start() {
        updateRooms();
        PendingRecord record =
                new PendingRecord(
                        jobTracker.countQueuedByRoute(),
                        largestCapacities(),
                        context.term.generation(),
                        room.workers(),
                        room.dividedSteps(),
                        context.settings.policies().isEnabled(Policy.TASK_MOVES)
                                ? room.idleWorkers()
                                : null,
                        roundDown(context.openWork.percent()),
                        roundDown(context.openWork.ordinaryPercent()));
        if (!record.equals(published)) {
            logIfFullChanges(record);
            published = record;
            storedRecord.write(StoredValueCodec.encode(record));
        }
        context.schedule(PUBLISH_INTERVAL_MILLIS, this::start);
    }

    /**
     * Rounds a use of memory down, so that the record changes seldom.
     *
     * @param percent the use, in percent
     * @return the use in tens of percent
     */
    private static int roundDown(int percent) {
        return percent - percent % MEMORY_STEP_PERCENT;
    }

    /**
     * Logs that the memory for open submissions is used up, or that there is room again.
     *
     * @param record what is about to be published
     */
    private void logIfFullChanges(PendingRecord record) {
        boolean wasFull = published != null && published.isFull();
        if (record.isFull() != wasFull) {
            context.log.log(
                    record.isFull() ? "cell.full" : "cell.has-room",
                    "cell",
                    context.cell,
                    "submissions",
                    context.jobs.size(),
                    "unloaded",
                    context.unloaded.count(),
                    "percent",
                    record.memoryPercent(),
                    "ordinaryPercent",
                    context.openWork.ordinaryPercent(),
                    "bytes",
                    context.settings.openWorkBytes());
        }
    }

    /**
     * Returns the capacities of the largest workers that count now.
     *
     * @return the capacities, empty if they are not known
     */
    private List<Resources> largestCapacities() {
        if (!workersRead) {
            return List.of();
        }
        LargestWorkers counted = new LargestWorkers();
        largestWorkers.capacities().forEach(counted::add);
        if (context.now() - workersReadAtMillis < FIRST_ANSWER_MILLIS) {
            context.allWorkers().forEach(worker -> counted.add(worker.entry.capacity()));
        }
        return counted.capacities();
    }

    /** Sums up the free room, unless no other cell could use it or that was done recently. */
    private void updateRooms() {
        long now = context.now();
        if (!context.siblingCells.isEmpty() && now - roomsAtMillis >= ROOMS_INTERVAL_MILLIS) {
            CellRoom current = freeRooms.sumUp();
            if (!current.equals(room)) {
                room = current;
                roomsAtMillis = now;
            }
        }
    }
}
