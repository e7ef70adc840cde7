package org.damasktiller.scheduler.cell;

import java.util.Arrays;
import org.damasktiller.scheduler.port.CommitReply;
import org.damasktiller.scheduler.port.StoreItem;
import org.damasktiller.scheduler.port.StoreReading;
import org.damasktiller.scheduler.port.StoreResult;
import org.damasktiller.scheduler.port.StoreStatus;
import org.damasktiller.scheduler.port.StoreTransaction;
import org.jspecify.annotations.Nullable;

/**
 * Writes a record that the owner of a cell replaces again and again. Each write names the revision
 * that it replaces, so that one that the store carries out late fails once a newer one is stored.
 * After a write that failed or had no response the record is read back, and the newest value is
 * written unless the record has been replaced since and has that value. One call is made at a time.
 */
final class RewrittenRecord {

    /** The revision before the record has been read. */
    private static final long UNREAD = -1;

    /** The shared state of the cell's owner. */
    private final CellContext context;

    /** The key of the record. */
    private final String key;

    /** The event that is logged after a write that is not known to be stored. */
    private final String failureEvent;

    /** The delay before a failed call is followed by another one, in milliseconds. */
    private final long retryMillis;

    /** The revision that the next write replaces, or {@link #UNREAD}. */
    private long revision = UNREAD;

    /** Whether the record must be read before it is written. */
    private boolean readNeeded = true;

    /** Whether a call is under way, or the delay after one that failed. */
    private boolean busy;

    /** The newest value, or null if it is stored or if there is none. */
    private byte @Nullable [] unstored;

    /**
     * Creates a writer of a record that has not been read.
     *
     * @param context the shared state of the cell's owner
     * @param key the key of the record
     * @param failureEvent the event that is logged after a write that is not known to be stored
     * @param retryMillis the delay before a failed call is followed by another one, in milliseconds
     */
    RewrittenRecord(CellContext context, String key, String failureEvent, long retryMillis) {
        this.context = context;
        this.key = key;
        this.failureEvent = failureEvent;
        this.retryMillis = retryMillis;
    }

    /**
     * Tells which revision the first write replaces, if the record has been read already.
     *
     * @param readRevision the revision, or {@link StoreItem#ABSENT}
     */
    void onRead(long readRevision) {
        revision = readRevision;
        readNeeded = false;
    }

    /**
     * Stores a value. If another one is being stored, this one follows, unless a newer one is there
     * by then.
     *
     * @param value the value
     */
    void write(byte[] value) {
        unstored = value;
        next();
    }

    /** Makes the next call, unless one is under way or nothing is left to be stored. */
    private void next() {
        byte[] value = unstored;
        if (busy || value == null || context.ended) {
            return;
        }
        busy = true;
        if (readNeeded) {
            context.store.read(key, this::onReading);
            return;
        }
        StoreTransaction commit =
                new StoreTransaction()
                        .expectRevision(CellKeys.owner(context.cell), context.term.headRevision())
                        .expectRevision(key, revision)
                        .put(key, value);
        context.store.commit(commit, result -> onWritten(value, result));
    }

    /**
     * Handles the result of a write.
     *
     * @param value the value that was written
     * @param result the result
     */
    private void onWritten(byte[] value, StoreResult<CommitReply> result) {
        if (result.status() == StoreStatus.OK) {
            revision = result.require().revision();
            onStored(value);
            busy = false;
            next();
            return;
        }
        context.log.log(
                failureEvent,
                "cell",
                context.cell,
                "replaces",
                revision,
                "status",
                result.status());
        readNeeded = result.status() != StoreStatus.REFUSED;
        nextAfterDelay();
    }

    /**
     * Handles the result of a read. While the revision is the one that a write without a response
     * replaces, that write may still be carried out; only a newer revision excludes it.
     *
     * @param result the result
     */
    private void onReading(StoreResult<StoreReading> result) {
        boolean absent = result.status() == StoreStatus.ABSENT;
        StoreItem item = result.status() == StoreStatus.OK ? result.require().item() : null;
        if (item == null && !absent) {
            nextAfterDelay();
            return;
        }
        long current = item == null ? StoreItem.ABSENT : item.revision();
        if (item != null && revision != UNREAD && revision != current) {
            onStored(item.value());
        }
        onRead(current);
        busy = false;
        next();
    }

    /**
     * Notes that a value is stored.
     *
     * @param value the value
     */
    private void onStored(byte[] value) {
        if (Arrays.equals(value, unstored)) {
            unstored = null;
        }
    }

    /** Makes the next call after a delay. */
    private void nextAfterDelay() {
        context.schedule(
                retryMillis,
                () -> {
                    busy = false;
                    next();
                });
    }
}
