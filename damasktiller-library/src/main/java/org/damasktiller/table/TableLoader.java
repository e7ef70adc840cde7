package org.damasktiller.table;

import io.activej.promise.Promise;
import java.util.List;
import java.util.Optional;
import org.damasktiller.error.DamasktillerException;
import org.damasktiller.error.ErrorCode;
import org.damasktiller.error.Operation;
import org.damasktiller.error.Outcome;
import org.damasktiller.store.KeyValueStore;
import org.damasktiller.store.StoredValue;
import org.jspecify.annotations.Nullable;

/**
 * Reads the current table from the store. The last table read is cached, so that usually only the
 * head has to be read. Confined to one reactor thread.
 */
public final class TableLoader {

    /**
     * How often a read is restarted if a record that the head refers to was deleted or replaced
     * after the head was read.
     */
    private static final int MAXIMUM_RESTARTS = 4;

    /** The key-value service. */
    private final KeyValueStore store;

    /** The last table read, or the empty table before the first read. */
    private OperatorTable cached = OperatorTable.EMPTY;

    /**
     * Creates a loader.
     *
     * @param store the key-value service
     */
    public TableLoader(KeyValueStore store) {
        this.store = store;
    }

    /**
     * Reads the current table.
     *
     * @return the table; fails with code STORE_UNAVAILABLE if the store does not answer
     */
    public Promise<OperatorTable> loadTable() {
        return load().map(LoadedTable::table);
    }

    /**
     * Reads the head and the current table.
     *
     * @return both; fails with code STORE_UNAVAILABLE if the store does not answer or its records
     *     are inconsistent, or PROTOCOL_ERROR if a record cannot be decoded
     */
    Promise<LoadedTable> load() {
        return load(MAXIMUM_RESTARTS);
    }

    /**
     * Reads the head and the current table.
     *
     * @param restartsLeft how often the read may be restarted
     * @return both
     */
    private Promise<LoadedTable> load(int restartsLeft) {
        return store.get(TableKeys.HEAD)
                .then(
                        head ->
                                head.isPresent()
                                        ? PromiseSuppliers.getOrFail(
                                                () -> assemble(head.get(), restartsLeft))
                                        : Promise.of(LoadedTable.EMPTY));
    }

    /**
     * Assembles the table of a head, from the cached table if the tail of the head covers the
     * versions since, otherwise from snapshot and segments.
     *
     * @param value the head as stored
     * @param restartsLeft how often the read may be restarted
     * @return head and table
     */
    private Promise<LoadedTable> assemble(StoredValue value, int restartsLeft) {
        TableHead head = TableCodec.decodeHead(value.value());
        if (head.tailCovers(cached.version())) {
            OperatorTable table = applyFollowingDeltas(cached, head.tail());
            if (table.digest() == head.digest()) {
                return cacheTable(head, value, table);
            }
        }
        return readSnapshot(head)
                .then(snapshot -> readSegments(snapshot, head.segments(), 0))
                .then(table -> applyTailAndVerify(head, value, table, restartsLeft));
    }

    /**
     * Applies the tail and checks the digest. If a record is missing or the digest differs, the
     * read is restarted.
     *
     * @param head the head
     * @param value the head as stored
     * @param base the table after the last segment, or null if a record is missing
     * @param restartsLeft how often the read may be restarted
     * @return head and table; fails with code STORE_UNAVAILABLE if the check fails and no restart
     *     is left
     */
    private Promise<LoadedTable> applyTailAndVerify(
            TableHead head, StoredValue value, @Nullable OperatorTable base, int restartsLeft) {
        if (base != null && head.tailCovers(base.version())) {
            OperatorTable table = applyFollowingDeltas(base, head.tail());
            if (table.digest() == head.digest()) {
                return cacheTable(head, value, table);
            }
        }
        if (restartsLeft > 0) {
            return load(restartsLeft - 1);
        }
        return Promise.ofException(
                new DamasktillerException(
                        ErrorCode.STORE_UNAVAILABLE,
                        Operation.READ,
                        "store",
                        Outcome.NOT_RUN,
                        "the stored records of table version "
                                + head.version()
                                + " are missing or inconsistent"));
    }

    /**
     * Reads the snapshot of a head.
     *
     * @param head the head
     * @return the table of the snapshot, the empty table if the head refers to none, or null if the
     *     snapshot is missing
     */
    private Promise<@Nullable OperatorTable> readSnapshot(TableHead head) {
        if (head.snapshotKey().isEmpty()) {
            return Promise.of(OperatorTable.EMPTY);
        }
        return store.get(head.snapshotKey())
                .then(
                        value ->
                                PromiseSuppliers.getOrFail(
                                        () -> Promise.of(decodeSnapshot(head, value))));
    }

    /**
     * Decodes a snapshot.
     *
     * @param head the head that refers to the snapshot
     * @param value the snapshot as stored, or empty if it is missing
     * @return the table, or null if the snapshot is missing
     */
    private static @Nullable OperatorTable decodeSnapshot(
            TableHead head, Optional<StoredValue> value) {
        return value.isEmpty()
                ? null
                : OperatorTable.of(
                        head.snapshotVersion(), TableReader.readRows(value.get().value()));
    }

    /**
     * Reads and applies the segments in order.
     *
     * @param table the table before the next segment, or null if a record is missing
     * @param segments the segments
     * @param index the index of the next segment
     * @return the table after the last segment, or null if a record is missing
     */
    private Promise<@Nullable OperatorTable> readSegments(
            @Nullable OperatorTable table, List<SegmentRange> segments, int index) {
        if (table == null || index == segments.size()) {
            return Promise.of(table);
        }
        return store.get(segments.get(index).key())
                .then(
                        value ->
                                PromiseSuppliers.getOrFail(
                                        () ->
                                                readSegments(
                                                        applySegment(table, value),
                                                        segments,
                                                        index + 1)));
    }

    /**
     * Applies one segment.
     *
     * @param table the table before the segment
     * @param value the segment as stored, or empty if it is missing
     * @return the table after the segment, or null if the segment is missing
     */
    private static @Nullable OperatorTable applySegment(
            OperatorTable table, Optional<StoredValue> value) {
        return value.isEmpty()
                ? null
                : applyFollowingDeltas(table, TableCodec.decodeDeltas(value.get().value()));
    }

    /**
     * Applies the deltas that directly follow the version of a table and ignores the others.
     *
     * @param table the table
     * @param deltas the deltas in order of version
     * @return the table after the last delta that could be applied
     */
    private static OperatorTable applyFollowingDeltas(
            OperatorTable table, List<TableDelta> deltas) {
        OperatorTable result = table;
        for (TableDelta delta : deltas) {
            if (delta.version() == result.version() + 1 && delta.complete()) {
                result = result.apply(delta);
            }
        }
        return result;
    }

    /**
     * Caches the table and returns it with its head.
     *
     * @param head the head
     * @param value the head as stored
     * @param table the table of the head
     * @return head and table
     */
    private Promise<LoadedTable> cacheTable(
            TableHead head, StoredValue value, OperatorTable table) {
        cached = table;
        return Promise.of(new LoadedTable(head, value.revision(), table));
    }
}
