package org.damasktiller.scheduler.cell;

import org.damasktiller.scheduler.interference.InterferenceModel;
import org.damasktiller.scheduler.interference.InterferenceRecord;
import org.damasktiller.scheduler.port.StoreItem;
import org.damasktiller.scheduler.port.StoreReading;
import org.damasktiller.scheduler.port.StoreResult;
import org.damasktiller.scheduler.port.StoreStatus;

/**
 * Hands the interference model of a cell from one owner to the next through the store.
 *
 * <p>Load pattern: the owner changes while many pairs of images run side by side. Without the
 * estimates of its predecessor, the new owner would harm serving tasks again to learn them. Nothing
 * waits for the estimates, and an owner that can't read them starts without.
 */
final class InterferenceKeeper {

    /** The time between two writes of the estimates, in milliseconds. */
    private static final long SAVE_INTERVAL_MILLIS = 5_000;

    /** The delay before a failed read is tried again, in milliseconds. */
    private static final long RETRY_MILLIS = 250;

    /** The shared state of the cell's owner. */
    private final CellContext context;

    /** The estimates. */
    private final InterferenceModel model;

    /** Stores the estimates. */
    private final RewrittenRecord storedRecord;

    /**
     * Creates a keeper that has not started.
     *
     * @param context the shared state of the cell's owner
     * @param model the estimates to fill and to save
     */
    InterferenceKeeper(CellContext context, InterferenceModel model) {
        this.context = context;
        this.model = model;
        this.storedRecord =
                new RewrittenRecord(
                        context,
                        CellKeys.interference(context.cell),
                        "interference.unsaved",
                        SAVE_INTERVAL_MILLIS);
    }

    /** Reads the estimates of the previous owner, and saves those of this one from then on. */
    void start() {
        context.store.read(CellKeys.interference(context.cell), this::onReading);
    }

    /**
     * Adopts the stored estimates. A record that can't be decoded is logged and later replaced.
     *
     * @param result the reading of the record
     */
    private void onReading(StoreResult<StoreReading> result) {
        if (context.ended) {
            return;
        }
        if (result.status() != StoreStatus.OK && result.status() != StoreStatus.ABSENT) {
            context.schedule(RETRY_MILLIS, this::start);
            return;
        }
        StoreItem item = result.status() == StoreStatus.OK ? result.require().item() : null;
        storedRecord.onRead(item == null ? StoreItem.ABSENT : item.revision());
        InterferenceRecord record =
                item == null
                        ? null
                        : StoredValueCodec.decode(item.value(), InterferenceRecord.class);
        if (record != null) {
            model.restore(record);
            context.log.log(
                    "interference.restored",
                    "cell",
                    context.cell,
                    "servingImages",
                    record.effects().size(),
                    "millis",
                    context.now() - context.term.startedAtMillis());
        } else if (item != null) {
            context.log.log("interference.unreadable", "key", item.key());
        }
        context.schedule(SAVE_INTERVAL_MILLIS, this::save);
    }

    /** Saves the estimates if there are any, on condition that this process still owns the cell. */
    private void save() {
        InterferenceRecord record = model.toRecord();
        if (!record.effects().isEmpty()) {
            storedRecord.write(StoredValueCodec.encode(record));
        }
        context.schedule(SAVE_INTERVAL_MILLIS, this::save);
    }
}
