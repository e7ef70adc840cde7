package org.damasktiller.node.caller;

import java.util.function.BiConsumer;
import org.damasktiller.scheduler.cell.CellKeys;
import org.damasktiller.scheduler.cell.SubmissionTombstone;
import org.damasktiller.scheduler.cell.TombstoneCause;
import org.damasktiller.scheduler.port.CommitReply;
import org.damasktiller.scheduler.port.MetadataStore;
import org.damasktiller.scheduler.port.ProcessRuntime;
import org.damasktiller.scheduler.port.StoreItem;
import org.damasktiller.scheduler.port.StoreReading;
import org.damasktiller.scheduler.port.StoreResult;
import org.damasktiller.scheduler.port.StoreStatus;
import org.jspecify.annotations.Nullable;

/**
 * Rejects one submission with the promise that it never runs. The promise is given only once a
 * tombstone has been stored for it, since an earlier write of the submission, by any VM, may still
 * be on its way to the store. A tombstone that is there already is replaced, because it may be
 * removed before a write that was sent after it takes effect. A submission that turns out to be
 * stored is accepted.
 */
final class FinalRejection {

    /** The request. */
    private final CallerRequest request;

    /** Why the submission is rejected. */
    private final TombstoneCause cause;

    /** The response once the tombstone is stored. */
    private final CallerResponse rejection;

    /** The store. */
    private final MetadataStore store;

    /** Stores the tombstone. */
    private final TombstoneWriter tombstones;

    /** The clock. */
    private final ProcessRuntime runtime;

    /** Receives the result of the last call to the store, and the response. */
    private final BiConsumer<StoreStatus, CallerResponse> callback;

    /**
     * Creates a rejection without writing its tombstone.
     *
     * @param request the request
     * @param cause why the submission is rejected
     * @param rejection the response once the tombstone is stored
     * @param store the store
     * @param tombstones stores the tombstone
     * @param runtime the clock
     * @param callback receives the result of the last call to the store, and the response; called
     *     once
     */
    FinalRejection(
            CallerRequest request,
            TombstoneCause cause,
            CallerResponse rejection,
            MetadataStore store,
            TombstoneWriter tombstones,
            ProcessRuntime runtime,
            BiConsumer<StoreStatus, CallerResponse> callback) {
        this.request = request;
        this.cause = cause;
        this.rejection = rejection;
        this.store = store;
        this.tombstones = tombstones;
        this.runtime = runtime;
        this.callback = callback;
    }

    /**
     * Writes the tombstone if the record of the submission has a revision.
     *
     * @param revision the revision of the tombstone to replace, or {@link StoreItem#ABSENT} to
     *     write the first one
     */
    void write(long revision) {
        if (runtime.nowMillis() < request.latestResponseMillis()) {
            tombstones.write(request.id(), revision, cause, this::onWritten);
        } else {
            callback.accept(
                    StoreStatus.REFUSED,
                    CallerResponse.notExecuted("no time is left to store the rejection"));
        }
    }

    /**
     * Handles the result of the write. After a write without a response the outcome is unknown: the
     * tombstone may be stored or not.
     *
     * @param result the store's response
     */
    private void onWritten(StoreResult<CommitReply> result) {
        switch (result.status()) {
            case OK -> callback.accept(StoreStatus.OK, rejection);
            case CONFLICT -> onConflict(result.value());
            case UNKNOWN ->
                    callback.accept(
                            StoreStatus.UNKNOWN,
                            CallerResponse.outcomeUnknown("the store did not respond in time"));
            default -> respondNotExecuted(result.status());
        }
    }

    /**
     * Handles a conflict with a record, which is read if the store's response does not have it.
     *
     * @param reply the store's response
     */
    private void onConflict(@Nullable CommitReply reply) {
        String key = CellKeys.submission(request.id());
        StoreItem item = reply == null ? null : reply.currentItem(key);
        if (item == null) {
            store.read(key, this::onRead);
        } else {
            onRecord(item);
        }
    }

    /**
     * Handles the result of reading the record.
     *
     * @param result the store's response
     */
    private void onRead(StoreResult<StoreReading> result) {
        StoreItem item = result.status() == StoreStatus.OK ? result.require().item() : null;
        if (item != null) {
            onRecord(item);
        } else if (result.status() == StoreStatus.ABSENT) {
            write(StoreItem.ABSENT);
        } else {
            respondNotExecuted(result.status());
        }
    }

    /**
     * Handles the record that is there: a tombstone is replaced, any other one shows that the
     * submission is stored.
     *
     * @param item the record
     */
    private void onRecord(StoreItem item) {
        if (SubmissionTombstone.isTombstone(item)) {
            write(item.revision());
        } else {
            callback.accept(StoreStatus.CONFLICT, CallerResponse.accepted());
        }
    }

    /**
     * Responds that the request had no effect.
     *
     * @param status the result of the call that failed
     */
    private void respondNotExecuted(StoreStatus status) {
        callback.accept(status, CallerResponse.notExecuted("the store refused the rejection"));
    }
}
