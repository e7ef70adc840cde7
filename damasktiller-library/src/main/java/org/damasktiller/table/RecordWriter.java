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

/** Writes the records of the table and deletes old ones. Belongs to one reactor thread. */
final class RecordWriter {

    /** How many segments of the history are kept. */
    static final int MAXIMUM_HISTORY_SEGMENTS = 128;

    /** How many snapshots are kept, so that a reader in the middle of a read can finish. */
    static final int MAXIMUM_SNAPSHOTS = 2;

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
     * Writes the immutable records and then the head.
     *
     * @param write the writes
     * @return the answer to the write of the head
     */
    Promise<SwapResult> write(EditAction.Write write) {
        return prepare(write).then(ignored -> writeHead(write));
    }

    /**
     * Writes the immutable records.
     *
     * @param write the writes
     * @return a promise completed after the last record
     */
    Promise<Void> prepare(EditAction.Write write) {
        return prepare(write.preparations(), 0);
    }

    /**
     * Writes the head, and deletes old records once it is in force.
     *
     * @param write the writes
     * @return the answer to the write of the head
     */
    Promise<SwapResult> writeHead(EditAction.Write write) {
        return store.compareAndSwap(write.head()).whenResult(result -> trim(write, result));
    }

    /**
     * Writes immutable records in order. A record that exists with other bytes was left by a try
     * that was never accepted and is replaced.
     *
     * @param requests the records
     * @param index the next record
     * @return a promise completed after the last record
     */
    private Promise<Void> prepare(List<SwapRequest> requests, int index) {
        if (index == requests.size()) {
            return Promise.complete();
        }
        SwapRequest request = requests.get(index);
        return store.compareAndSwap(request)
                .then(result -> replaceIfOther(request, result.current()))
                .then(ignored -> prepare(requests, index + 1));
    }

    /**
     * Replaces a record that exists with other bytes.
     *
     * @param request the record to write
     * @param current the record that exists, or null if the write took effect
     * @return a promise completed when the record is in the store
     */
    private Promise<Void> replaceIfOther(SwapRequest request, @Nullable StoredValue current) {
        if (current == null || Arrays.equals(current.value(), request.value())) {
            return Promise.complete();
        }
        return store.compareAndSwap(
                        new SwapRequest(request.key(), current.revision(), request.value()))
                .toVoid();
    }

    /**
     * Deletes the oldest records after a write that added some; a failure leaves them for the next
     * time.
     *
     * @param write the writes of the edit
     * @param result the answer to the write of the head
     */
    private void trim(EditAction.Write write, SwapResult result) {
        if (write.preparations().isEmpty() || !result.applied()) {
            return;
        }
        TableHead head = TableCodec.decodeHead(Objects.requireNonNull(write.head().value()));
        store.list(TableKeys.SEGMENTS)
                .whenResult(all -> delete(all, MAXIMUM_HISTORY_SEGMENTS, head));
        store.list(TableKeys.SNAPSHOTS).whenResult(all -> delete(all, MAXIMUM_SNAPSHOTS, head));
    }

    /**
     * Deletes the oldest of some records that the head does not need.
     *
     * @param records the records, the oldest first
     * @param kept how many to keep
     * @param head the head
     */
    private void delete(List<StoredValue> records, int kept, TableHead head) {
        for (StoredValue old : records.subList(0, Math.max(0, records.size() - kept))) {
            if (TableKeys.version(old.key()) < head.snapshotVersion()) {
                store.compareAndSwap(new SwapRequest(old.key(), old.revision(), null));
            }
        }
    }
}
