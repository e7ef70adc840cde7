package org.damasktiller.scheduler.cell;

import org.damasktiller.scheduler.model.PartsRecord;
import org.damasktiller.scheduler.port.StoreItem;
import org.damasktiller.scheduler.port.StoreReading;
import org.damasktiller.scheduler.port.StoreResult;
import org.damasktiller.scheduler.port.StoreStatus;

/** Reads which cells have parts of finished jobs, until the store answers. */
final class PartsReader {

    /** The delay before a failed read is tried again, in milliseconds. */
    private static final long RETRY_MILLIS = 60;

    /** The shared state of the cell's owner. */
    private final CellContext context;

    /**
     * Creates a reader for the jobs of a cell.
     *
     * @param context the shared state of the cell's owner
     */
    PartsReader(CellContext context) {
        this.context = context;
    }

    /**
     * Reads which cells have parts of a job, and keeps them in the job.
     *
     * @param job the job, of which tasks have moved
     * @param listener called when the store has answered, unless the job is closed by then
     */
    void read(Job job, Listener listener) {
        context.store.read(
                CellKeys.parts(job.id()),
                result -> {
                    if (!context.ended && context.jobs.get(job.id()) == job) {
                        onReading(job, listener, result);
                    }
                });
    }

    /**
     * Handles a reading.
     *
     * @param job the job
     * @param listener called when the store has answered
     * @param result the reading
     */
    private void onReading(Job job, Listener listener, StoreResult<StoreReading> result) {
        StoreItem item = result.status() == StoreStatus.OK ? result.require().item() : null;
        PartsRecord parts =
                item == null ? null : StoredValueCodec.decode(item.value(), PartsRecord.class);
        if (item != null && parts != null) {
            job.parts = parts;
            job.partsRevision = item.revision();
            listener.onRead(true);
        } else if (result.status() == StoreStatus.ABSENT) {
            listener.onRead(false);
        } else {
            context.log.log("parts.unread", "id", job.id(), "status", result.status());
            context.schedule(RETRY_MILLIS, () -> read(job, listener));
        }
    }

    /** Called when the store has answered. */
    @FunctionalInterface
    interface Listener {

        /**
         * Called when the store has answered.
         *
         * @param known whether the cells are known; otherwise the job's record has changed
         */
        void onRead(boolean known);
    }
}
