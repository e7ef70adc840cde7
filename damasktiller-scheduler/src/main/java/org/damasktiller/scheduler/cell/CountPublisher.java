package org.damasktiller.scheduler.cell;

import java.util.List;
import org.damasktiller.scheduler.model.Resources;
import org.damasktiller.scheduler.placement.LargestWorkers;
import org.damasktiller.scheduler.port.StoreStatus;
import org.damasktiller.scheduler.port.StoreTransaction;
import org.jspecify.annotations.Nullable;

/** Publishes the pending counts and the largest workers of the cell in the store. */
final class CountPublisher {

    /** The time between two publications, in milliseconds. */
    private static final long PUBLISH_INTERVAL_MILLIS = 500;

    /** The shared state of the cell's owner. */
    private final CellContext context;

    /** Counts the pending submissions. */
    private final JobTracker jobTracker;

    /** The largest workers that the cell has had in this term. */
    private final LargestWorkers largestWorkers = new LargestWorkers();

    /** Whether all entries of workers have been read. */
    private boolean workersRead;

    /** What was published last, or null if nothing was or the last publication failed. */
    private @Nullable PendingRecord published;

    /**
     * Creates a publisher that has published nothing.
     *
     * @param context the shared state of the cell's owner
     * @param jobTracker counts the pending submissions
     */
    CountPublisher(CellContext context, JobTracker jobTracker) {
        this.context = context;
        this.jobTracker = jobTracker;
    }

    /**
     * Adds a worker of the cell.
     *
     * @param capacity the capacity of the worker
     */
    void addWorker(Resources capacity) {
        largestWorkers.add(capacity);
    }

    /** Records that all workers of the cell have been added, so that the largest are known. */
    void onWorkersRead() {
        workersRead = true;
    }

    /**
     * Publishes the counts and the largest workers if they have changed, and schedules the next
     * check.
     */
    void start() {
        PendingRecord record =
                new PendingRecord(
                        jobTracker.countQueuedByRoute(),
                        workersRead ? largestWorkers.capacities() : List.of());
        if (!record.equals(published)) {
            published = record;
            StoreTransaction commit = new StoreTransaction();
            commit.expectRevision(CellKeys.owner(context.cell), context.term.headRevision());
            commit.put(CellKeys.pending(context.cell), StoredValueCodec.encode(record));
            context.store.commit(
                    commit,
                    result -> {
                        if (result.status() != StoreStatus.OK) {
                            published = null;
                        }
                    });
        }
        context.schedule(PUBLISH_INTERVAL_MILLIS, this::start);
    }
}
