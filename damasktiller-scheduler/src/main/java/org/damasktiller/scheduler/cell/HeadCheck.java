package org.damasktiller.scheduler.cell;

import java.util.function.Consumer;
import org.damasktiller.scheduler.port.StoreItem;
import org.damasktiller.scheduler.port.StoreReading;
import org.damasktiller.scheduler.port.StoreResult;
import org.damasktiller.scheduler.port.StoreStatus;

/** Reads the head of a cell, which shows whether a batch without an answer was stored. */
final class HeadCheck {

    /** The shared state of the cell's owner. */
    private final CellContext context;

    /**
     * Creates a check for the head of a cell.
     *
     * @param context the shared state of the cell's owner
     */
    HeadCheck(CellContext context) {
        this.context = context;
    }

    /**
     * Reads the head.
     *
     * @param sequence the number of the batch whose outcome is unknown
     * @param revision the revision of the head before that batch
     * @param callback receives what the head shows
     */
    void check(long sequence, long revision, Consumer<Head> callback) {
        context.store.read(
                CellKeys.head(context.cell),
                result -> callback.accept(interpret(result, sequence, revision)));
    }

    /**
     * Determines what the head shows.
     *
     * @param result the reading of the head
     * @param sequence the number of the batch
     * @param revision the revision of the head before the batch
     * @return the outcome of the batch, and the revision of the head
     */
    private Head interpret(StoreResult<StoreReading> result, long sequence, long revision) {
        if (result.status() != StoreStatus.OK) {
            return new Head(Outcome.NOT_KNOWN, revision);
        }
        StoreItem item = result.require().item();
        HeadRecord head =
                item == null ? null : StoredValueCodec.decode(item.value(), HeadRecord.class);
        if (item == null || head == null || head.generation() != context.term.generation()) {
            return new Head(Outcome.OTHER_GENERATION, revision);
        }
        if (head.sequence() == sequence) {
            return new Head(Outcome.STORED, item.revision());
        }
        return item.revision() == revision
                ? new Head(Outcome.NOT_STORED, revision)
                : new Head(Outcome.OTHER_PROCESS, revision);
    }

    /** What the head tells of a batch. */
    enum Outcome {
        /** The head could not be read. */
        NOT_KNOWN,
        /** An owner of another generation has replaced the head. */
        OTHER_GENERATION,
        /** The batch is stored. */
        STORED,
        /** The batch is not stored, but may be later. */
        NOT_STORED,
        /** Another process of the same generation has replaced the head. */
        OTHER_PROCESS
    }

    /**
     * What the head shows.
     *
     * @param outcome what it tells of the batch
     * @param revision the revision that the batch wrote if it is stored, otherwise the one before
     */
    record Head(Outcome outcome, long revision) {}
}
