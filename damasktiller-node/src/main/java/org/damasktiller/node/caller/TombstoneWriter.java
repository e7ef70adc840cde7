package org.damasktiller.node.caller;

import java.util.function.Consumer;
import org.damasktiller.scheduler.cell.CellKeys;
import org.damasktiller.scheduler.cell.SubmissionTombstone;
import org.damasktiller.scheduler.cell.TombstoneCause;
import org.damasktiller.scheduler.port.CommitReply;
import org.damasktiller.scheduler.port.DecisionLog;
import org.damasktiller.scheduler.port.MetadataStore;
import org.damasktiller.scheduler.port.ProcessRuntime;
import org.damasktiller.scheduler.port.StoreResult;
import org.damasktiller.scheduler.port.StoreTransaction;

/**
 * Stores cancellations and final rejections of submissions that are not stored. A tombstone is
 * under no lease, which the store may end during an outage; {@link TombstoneRemover} ends it, long
 * after any write of its submission that was sent before it.
 */
final class TombstoneWriter {

    /** The store. */
    private final MetadataStore store;

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
        this.runtime = runtime;
        this.log = log;
    }

    /**
     * Writes a tombstone, on the condition that the record of its submission is as it was read.
     *
     * @param id the identifier of the submission
     * @param revision the revision of the tombstone to replace, or {@link
     *     org.damasktiller.scheduler.port.StoreItem#ABSENT} if there was no record
     * @param cause why the submission is not stored
     * @param callback receives OK if the tombstone is stored, otherwise why it is not known to be
     */
    void write(
            String id,
            long revision,
            TombstoneCause cause,
            Consumer<StoreResult<CommitReply>> callback) {
        byte[] tombstone = SubmissionTombstone.encode(cause, runtime.unixMillis());
        StoreTransaction commit =
                new StoreTransaction()
                        .expectRevision(CellKeys.submission(id), revision)
                        .put(CellKeys.submission(id), tombstone)
                        .put(CellKeys.tombstone(id), tombstone);
        store.commit(
                commit,
                result -> {
                    log.log(
                            "tombstone.written",
                            "id",
                            id,
                            "cause",
                            cause,
                            "replaces",
                            revision,
                            "status",
                            result.status());
                    callback.accept(result);
                });
    }
}
