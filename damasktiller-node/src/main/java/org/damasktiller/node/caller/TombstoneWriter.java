package org.damasktiller.node.caller;

import java.util.function.Consumer;
import org.damasktiller.scheduler.cell.CellKeys;
import org.damasktiller.scheduler.cell.SubmissionTombstone;
import org.damasktiller.scheduler.port.CommitReply;
import org.damasktiller.scheduler.port.DecisionLog;
import org.damasktiller.scheduler.port.MetadataStore;
import org.damasktiller.scheduler.port.ProcessRuntime;
import org.damasktiller.scheduler.port.StoreLease;
import org.damasktiller.scheduler.port.StoreResult;
import org.damasktiller.scheduler.port.StoreStatus;
import org.damasktiller.scheduler.port.StoreTransaction;

/**
 * Stores cancellations of submissions that are not stored. A tombstone ends by itself, long after
 * any write of its submission that was sent before it.
 */
final class TombstoneWriter {

    /** The store. */
    private final MetadataStore store;

    /** Provides the lease under which the tombstones are written. */
    private final TombstoneLease lease;

    /** The clock. */
    private final ProcessRuntime runtime;

    /** The log. */
    private final DecisionLog log;

    /**
     * Creates a writer.
     *
     * @param store the store
     * @param runtime the clock
     * @param log the log
     */
    TombstoneWriter(MetadataStore store, ProcessRuntime runtime, DecisionLog log) {
        this.store = store;
        this.lease = new TombstoneLease(store, runtime, log);
        this.runtime = runtime;
        this.log = log;
    }

    /**
     * Writes a tombstone, on the condition that the record of its submission is as it was read.
     *
     * @param id the identifier of the submission
     * @param revision the revision of the tombstone to replace, or {@link
     *     org.damasktiller.scheduler.port.StoreItem#ABSENT} if there was no record
     * @param callback receives OK if the tombstone is stored, otherwise why it is not known to be
     */
    void write(String id, long revision, Consumer<StoreStatus> callback) {
        lease.provide(
                result -> {
                    if (result.status() == StoreStatus.OK) {
                        write(id, revision, result.require(), callback);
                    } else {
                        callback.accept(result.status());
                    }
                });
    }

    /**
     * Writes a tombstone under a lease.
     *
     * @param id the identifier of the submission
     * @param revision the revision of the record to replace
     * @param granted the lease
     * @param callback receives the status
     */
    private void write(
            String id, long revision, StoreLease granted, Consumer<StoreStatus> callback) {
        String key = CellKeys.submission(id);
        StoreTransaction commit =
                new StoreTransaction()
                        .expectRevision(key, revision)
                        .put(key, SubmissionTombstone.encode(runtime.unixMillis()), granted.id());
        store.commit(commit, result -> onWritten(id, revision, result, callback));
    }

    /**
     * Passes on the result of a write.
     *
     * @param id the identifier of the submission
     * @param revision the revision of the record to replace
     * @param result the store's response
     * @param callback receives the status
     */
    private void onWritten(
            String id,
            long revision,
            StoreResult<CommitReply> result,
            Consumer<StoreStatus> callback) {
        log.log("tombstone.written", "id", id, "replaces", revision, "status", result.status());
        if (result.status() == StoreStatus.ABSENT) {
            lease.discard();
        }
        callback.accept(result.status());
    }
}
