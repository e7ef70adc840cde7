package org.damasktiller.table;

import io.activej.promise.Promise;
import java.util.Arrays;
import java.util.List;
import java.util.Objects;
import org.damasktiller.store.KeyValueStore;
import org.damasktiller.store.StoredValue;
import org.damasktiller.store.SwapRequest;
import org.damasktiller.store.SwapResult;
import org.jspecify.annotations.Nullable;

/**
 * Writes the head, segments and snapshots of the table and deletes old segments and snapshots.
 * Confined to one reactor thread.
 */
final class RecordWriter {

    /** The number of latest segments that are kept for the history. */
    static final int RETAINED_HISTORY_SEGMENTS = 128;

    /**
     * The number of latest snapshots that are kept, so that a reader that has read the previous
     * head can still read its snapshot.
     */
    static final int RETAINED_SNAPSHOTS = 2;

    /** The key-value service. */
    private final KeyValueStore store;

    /**
     * Creates a writer.
     *
     * @param store the key-value service
     */
    RecordWriter(KeyValueStore store) {
        this.store = store;
    }

    /**
     * Writes the records and then the head.
     *
     * @param write the writes
     * @return the answer of the store to the write of the head
     */
    Promise<SwapResult> write(EditAction.Write write) {
        return writeRecords(write).then(ignored -> writeHead(write));
    }

    /**
     * Writes the records that must be stored before the head.
     *
     * @param write the writes
     * @return a promise that completes when all records are in the store
     */
    Promise<Void> writeRecords(EditAction.Write write) {
        return writeRecords(write.recordWrites(), 0);
    }

    /**
     * Writes the head and, once it is written, starts to delete old records.
     *
     * @param write the writes
     * @return the answer of the store to the write of the head, which does not wait for the
     *     deletions
     */
    Promise<SwapResult> writeHead(EditAction.Write write) {
        return store.compareAndSwap(write.headWrite())
                .whenResult(result -> deleteOldRecords(write, result));
    }

    /**
     * Writes records one after the other. A record that exists with different bytes is left over
     * from an attempt whose head was never written, and is replaced.
     *
     * @param requests the records
     * @param index the index of the next record to write
     * @return a promise that completes when all records are in the store
     */
    private Promise<Void> writeRecords(List<SwapRequest> requests, int index) {
        if (index == requests.size()) {
            return Promise.complete();
        }
        SwapRequest request = requests.get(index);
        return store.compareAndSwap(request)
                .then(result -> replaceIfDifferent(request, result.current()))
                .then(ignored -> writeRecords(requests, index + 1));
    }

    /**
     * Replaces a record if it exists with different bytes.
     *
     * @param request the record to write
     * @param current the existing record, or null if the write took effect
     * @return a promise that completes after the replacement, or at once if none is needed
     */
    private Promise<Void> replaceIfDifferent(SwapRequest request, @Nullable StoredValue current) {
        if (current == null || Arrays.equals(current.value(), request.value())) {
            return Promise.complete();
        }
        return store.compareAndSwap(
                        new SwapRequest(request.key(), current.revision(), request.value()))
                .toVoid();
    }

    /**
     * Deletes old segments and snapshots if the write was applied and added any. Failures are
     * ignored: records that remain are deleted after a later write.
     *
     * @param write the writes of the edit
     * @param result the answer of the store to the write of the head
     */
    private void deleteOldRecords(EditAction.Write write, SwapResult result) {
        if (write.recordWrites().isEmpty() || !result.applied()) {
            return;
        }
        TableHead head = TableCodec.decodeHead(Objects.requireNonNull(write.headWrite().value()));
        store.list(TableKeys.SEGMENT_PREFIX)
                .whenResult(all -> deleteUnneeded(all, RETAINED_HISTORY_SEGMENTS, head));
        store.list(TableKeys.SNAPSHOT_PREFIX)
                .whenResult(all -> deleteUnneeded(all, RETAINED_SNAPSHOTS, head));
    }

    /**
     * Deletes the oldest records, except for those that the head needs.
     *
     * @param records the segments or the snapshots, oldest first
     * @param retainedCount the number of latest records to keep
     * @param head the current head
     */
    private void deleteUnneeded(List<StoredValue> records, int retainedCount, TableHead head) {
        for (StoredValue old : records.subList(0, Math.max(0, records.size() - retainedCount))) {
            if (TableKeys.versionOf(old.key()) < head.snapshotVersion()) {
                store.compareAndSwap(new SwapRequest(old.key(), old.revision(), null));
            }
        }
    }
}
