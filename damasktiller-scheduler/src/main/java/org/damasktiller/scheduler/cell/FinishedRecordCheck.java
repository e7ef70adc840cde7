package org.damasktiller.scheduler.cell;

import org.damasktiller.scheduler.port.StoreItem;
import org.damasktiller.scheduler.port.StoreReading;
import org.damasktiller.scheduler.port.StoreResult;
import org.damasktiller.scheduler.port.StoreStatus;

/**
 * Reads the records of finished jobs after conflicts, since their callers may have cancelled them.
 * The items in the reply to a conflict can't show this, because they may be incomplete.
 */
final class FinishedRecordCheck {

    /** The delay before a failed read is tried again, in milliseconds. */
    private static final long RETRY_MILLIS = 60;

    /** The shared state of the cell's owner. */
    private final CellContext context;

    /** Called with what the records show. */
    private final Listener listener;

    /**
     * Creates a check for the jobs of a cell.
     *
     * @param context the shared state of the cell's owner
     * @param listener called with what the records show
     */
    FinishedRecordCheck(CellContext context, Listener listener) {
        this.context = context;
        this.listener = listener;
    }

    /**
     * Reads the record of a finished job, again and again until there is an answer.
     *
     * @param job the finished job
     */
    void check(Job job) {
        context.store.read(CellKeys.submission(job.id()), result -> onRecord(job, result));
    }

    /**
     * Passes on whether the record of a finished job has changed.
     *
     * @param job the finished job
     * @param result the reading of its record
     */
    private void onRecord(Job job, StoreResult<StoreReading> result) {
        if (context.ended) {
            return;
        }
        boolean absent = result.status() == StoreStatus.ABSENT;
        if (result.status() != StoreStatus.OK && !absent) {
            context.schedule(RETRY_MILLIS, () -> check(job));
            return;
        }
        StoreItem item = absent ? null : result.require().item();
        listener.onChecked(job, item != null && item.revision() == job.recordRevision);
    }

    /** Called with what the records show. */
    interface Listener {

        /**
         * Called when the record of a finished job has been read.
         *
         * @param job the finished job
         * @param unchanged whether the record is the one that the job was read with; otherwise the
         *     caller has cancelled the job
         */
        void onChecked(Job job, boolean unchanged);
    }
}
