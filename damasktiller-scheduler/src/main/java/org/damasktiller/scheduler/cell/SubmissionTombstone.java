package org.damasktiller.scheduler.cell;

import org.damasktiller.scheduler.model.SubmissionRecord;
import org.damasktiller.scheduler.model.SubmissionState;
import org.damasktiller.scheduler.port.StoreItem;
import org.jspecify.annotations.Nullable;

/**
 * The record of a cancellation or a final rejection of a submission that is not stored, under the
 * key of its record. A write of the submission that the store carries out later conflicts with it.
 * It has the form of the record of a cancelled submission that no cell and no route has, and a
 * cause, which earlier releases ignore.
 */
public final class SubmissionTombstone {

    /** The cell and the route in a tombstone. */
    private static final String NONE = "";

    /** Prevents instantiation. */
    private SubmissionTombstone() {}

    /**
     * Encodes a tombstone.
     *
     * @param cause why the submission is not stored
     * @param unixMillis the present time, in milliseconds since 1970
     * @return the stored value
     */
    public static byte[] encode(TombstoneCause cause, long unixMillis) {
        return StoredValueCodec.encode(
                new Stored(NONE, NONE, SubmissionState.CANCELLED, unixMillis, cause.name()));
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

    /**
     * Returns why a submission has a tombstone.
     *
     * @param tombstone the item under the key of its record
     * @return the cause; CANCELLED for one without a cause, and for one that is not known here
     */
    public static TombstoneCause causeOf(StoreItem tombstone) {
        Stored stored = StoredValueCodec.decode(tombstone.value(), Stored.class);
        return stored != null && TombstoneCause.UNSERVABLE.name().equals(stored.cause())
                ? TombstoneCause.UNSERVABLE
                : TombstoneCause.CANCELLED;
    }

    /**
     * The stored form: a {@link SubmissionRecord} with a cause.
     *
     * @param cell empty
     * @param route empty
     * @param state CANCELLED
     * @param changedUnixMillis when the tombstone was written, in milliseconds since 1970
     * @param cause the name of the cause, or null in a tombstone of an earlier release
     */
    private record Stored(
            String cell,
            String route,
            SubmissionState state,
            long changedUnixMillis,
            @Nullable String cause) {}
}
