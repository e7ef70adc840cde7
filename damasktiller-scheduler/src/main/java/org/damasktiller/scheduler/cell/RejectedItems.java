package org.damasktiller.scheduler.cell;

import java.util.Set;
import java.util.TreeSet;

/**
 * Finds the item for which the store rejects batches as invalid, and sets it aside. Each rejected
 * batch halves the number of items of the next ones, until an item is rejected alone.
 */
final class RejectedItems {

    /** The number of items from which on a batch is not bounded any more. */
    private static final int UNBOUNDED = JobRows.MAX_TRANSACTION_ROWS;

    /** The delay before a job that was set aside is stored again, in milliseconds. */
    private static final long RETRY_MILLIS = 10_000;

    /** The shared state of the cell's owner. */
    private final CellContext context;

    /** The most items of the next batch. */
    private int maxItems = UNBOUNDED;

    /** Whether the store has rejected the roster alone and has not taken one since. */
    private boolean rosterSetAside;

    /**
     * Creates the state of an owner whose store has not rejected anything.
     *
     * @param context the shared state of the cell's owner
     */
    RejectedItems(CellContext context) {
        this.context = context;
    }

    /**
     * Returns whether a batch may hold one more item.
     *
     * @param batch the batch
     * @return whether it has fewer items than the next batch may have
     */
    boolean hasRoom(CommitBatch batch) {
        boolean taken = batch.hasRoster && rosterSetAside;
        return !taken && batch.countItems() < maxItems;
    }

    /**
     * Takes note of a batch that the store has rejected as invalid.
     *
     * @param batch the batch
     * @param reason the answer of the store, for the log
     * @return whether its only item is set aside; otherwise its items are to be sent again
     */
    boolean onRejected(CommitBatch batch, String reason) {
        int items = batch.countItems();
        if (items != 1) {
            maxItems = items == 0 ? maxItems : items / 2;
            return false;
        }
        if (batch.hasRoster) {
            if (!rosterSetAside) {
                log(CellKeys.roster(context.cell), reason);
            }
            rosterSetAside = true;
        }
        for (Job job : batch.jobVersions.keySet()) {
            if (!job.setAside) {
                log(String.join(" ", writtenKeys(batch)), reason);
            }
            job.setAside = true;
        }
        return true;
    }

    /**
     * Takes note of a batch that is stored.
     *
     * @param batch the batch
     */
    void onStored(CommitBatch batch) {
        maxItems = Math.min(UNBOUNDED, maxItems * 2);
        rosterSetAside &= !batch.hasRoster;
        for (Job job : batch.jobVersions.keySet()) {
            job.setAside = false;
        }
    }

    /**
     * Schedules that a job which was set aside is stored again, unless it is over by then.
     *
     * @param job the job
     * @param enqueue queues the job
     */
    void scheduleRetry(Job job, Runnable enqueue) {
        context.schedule(
                RETRY_MILLIS,
                () -> {
                    if (job.setAside && job.equals(context.jobs.get(job.id()))) {
                        enqueue.run();
                    }
                });
    }

    /**
     * Returns the keys that a batch writes beside the head.
     *
     * @param batch the batch
     * @return the keys
     */
    private Set<String> writtenKeys(CommitBatch batch) {
        Set<String> keys = new TreeSet<>(batch.commit.writes().keySet());
        keys.remove(CellKeys.head(context.cell));
        return keys;
    }

    /**
     * Logs that an item is set aside.
     *
     * @param key the key of the item; a large submission may have several
     * @param reason the answer of the store
     */
    private void log(String key, String reason) {
        context.log.log("commit.set-aside", "cell", context.cell, "key", key, "reason", reason);
    }
}
