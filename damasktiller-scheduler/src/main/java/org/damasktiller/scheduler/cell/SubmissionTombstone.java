package org.damasktiller.scheduler.cell;

import org.damasktiller.scheduler.model.SubmissionRecord;
import org.damasktiller.scheduler.model.SubmissionState;
import org.damasktiller.scheduler.port.StoreItem;
import org.jspecify.annotations.Nullable;

/**
 * The record of a cancellation of a submission that is not stored, under the key of its record. A
 * write of the submission that the store carries out later conflicts with it. It has the form of
 * the record of a cancelled submission that no cell and no route has.
 */
public final class SubmissionTombstone {

    /** The cell and the route in a tombstone. */
    private static final String NONE = "";

    /** Prevents instantiation. */
    private SubmissionTombstone() {}

    /**
     * Encodes a tombstone.
     *
     * @param unixMillis the present time, in milliseconds since 1970
     * @return the stored value
     */
    public static byte[] encode(long unixMillis) {
        return StoredValueCodec.encode(
                new SubmissionRecord(NONE, NONE, SubmissionState.CANCELLED, unixMillis));
    }

    /**
     * Returns whether a stored record is a tombstone.
     *
     * @param record the record, or null if it can't be read
     * @return whether the record says that its submission is not stored
     */
    public static boolean isTombstone(@Nullable SubmissionRecord record) {
        return record != null
                && record.state() == SubmissionState.CANCELLED
                && NONE.equals(record.cell())
                && NONE.equals(record.route());
    }

    /**
     * Returns whether a stored item is a tombstone.
     *
     * @param item the item under the key of a submission's record, or null if there is none
     * @return whether the item says that its submission is not stored
     */
    public static boolean isTombstone(@Nullable StoreItem item) {
        return item != null
                && isTombstone(StoredValueCodec.decode(item.value(), SubmissionRecord.class));
    }
}
