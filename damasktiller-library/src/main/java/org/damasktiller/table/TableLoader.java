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
 * Reads the table from the store. It remembers the last table read, so that as a rule only the head
 * is read. Belongs to one reactor thread.
 */
public final class TableLoader {

    /** How often a read starts again because a record was replaced in the middle of it. */
    private static final int MAXIMUM_TRIES = 4;

    /** The key-value service. */
    private final KeyValueStore store;

    /** The last table read. */
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
     * Reads the table in force according to the store.
     *
     * @return the table; fails with code STORE_UNAVAILABLE if the store does not answer
     */
    public Promise<OperatorTable> loadTable() {
        return load().map(LoadedTable::table);
    }

    /**
     * Reads head and table.
     *
     * @return both
     */
    Promise<LoadedTable> load() {
        return load(MAXIMUM_TRIES);
    }

    /**
     * Reads head and table.
     *
     * @param tries how often to start again at most
     * @return both
     */
    private Promise<LoadedTable> load(int tries) {
        return store.get(TableKeys.HEAD)
                .then(
                        head ->
                                head.isPresent()
                                        ? Attempt.of(() -> assemble(head.get(), tries))
                                        : Promise.of(LoadedTable.EMPTY));
    }

    /**
     * Assembles the table of a head.
     *
     * @param value the head as stored
     * @param tries how often to start again at most
     * @return head and table
     */
    private Promise<LoadedTable> assemble(StoredValue value, int tries) {
        TableHead head = TableCodec.decodeHead(value.value());
        if (head.tailCovers(cached.version())) {
            OperatorTable table = applyAfter(cached, head.tail());
            if (table.digest() == head.digest()) {
                return loaded(head, value, table);
            }
        }
        return readSnapshot(head)
                .then(snapshot -> readSegments(snapshot, head.segments(), 0))
                .then(table -> check(head, value, table, tries));
    }

    /**
     * Applies the tail and checks the digest; starts again if a record was missing.
     *
     * @param head the head
     * @param value the head as stored
     * @param base snapshot and segments, or null if one of them is gone
     * @param tries how often to start again at most
     * @return head and table
     */
    private Promise<LoadedTable> check(
            TableHead head, StoredValue value, @Nullable OperatorTable base, int tries) {
        if (base != null && head.tailCovers(base.version())) {
            OperatorTable table = applyAfter(base, head.tail());
            if (table.digest() == head.digest()) {
                return loaded(head, value, table);
            }
        }
        if (tries > 0) {
            return load(tries - 1);
        }
        return Promise.ofException(
                new DamasktillerException(
                        ErrorCode.STORE_UNAVAILABLE,
                        Operation.READ,
                        "store",
                        Outcome.NOT_RUN,
                        "the records of table version " + head.version() + " do not fit together"));
    }

    /**
     * Reads the snapshot of a head.
     *
     * @param head the head
     * @return the table of the snapshot, or null if it is gone
     */
    private Promise<@Nullable OperatorTable> readSnapshot(TableHead head) {
        if (head.snapshotKey().isEmpty()) {
            return Promise.of(OperatorTable.EMPTY);
        }
        return store.get(head.snapshotKey())
                .then(value -> Attempt.of(() -> Promise.of(snapshotTable(head, value))));
    }

    /**
     * Reads the table of a snapshot.
     *
     * @param head the head that names the snapshot
     * @param value the snapshot, or empty if it is gone
     * @return the table, or null if the snapshot is gone
     */
    private static @Nullable OperatorTable snapshotTable(
            TableHead head, Optional<StoredValue> value) {
        return value.isEmpty()
                ? null
                : OperatorTable.of(
                        head.snapshotVersion(), TableReader.readRows(value.get().value()));
    }

    /**
     * Reads and applies the segments in order.
     *
     * @param table the table so far, or null if a record is gone
     * @param segments the segments
     * @param index the next segment
     * @return the table after the last segment, or null if a record is gone
     */
    private Promise<@Nullable OperatorTable> readSegments(
            @Nullable OperatorTable table, List<SegmentRange> segments, int index) {
        if (table == null || index == segments.size()) {
            return Promise.of(table);
        }
        return store.get(segments.get(index).key())
                .then(
                        value ->
                                Attempt.of(
                                        () ->
                                                readSegments(
                                                        applySegment(table, value),
                                                        segments,
                                                        index + 1)));
    }

    /**
     * Applies one segment.
     *
     * @param table the table before
     * @param value the segment, or empty if it is gone
     * @return the table after, or null if the segment is gone
     */
    private static @Nullable OperatorTable applySegment(
            OperatorTable table, Optional<StoredValue> value) {
        return value.isEmpty()
                ? null
                : applyAfter(table, TableCodec.decodeDeltas(value.get().value()));
    }

    /**
     * Applies the deltas that follow a table.
     *
     * @param table the table
     * @param deltas the deltas in order
     * @return the table after the last delta
     */
    private static OperatorTable applyAfter(OperatorTable table, List<TableDelta> deltas) {
        OperatorTable result = table;
        for (TableDelta delta : deltas) {
            if (delta.version() == result.version() + 1 && delta.complete()) {
                result = result.apply(delta);
            }
        }
        return result;
    }

    /**
     * Remembers the table read.
     *
     * @param head the head
     * @param value the head as stored
     * @param table the table
     * @return head and table
     */
    private Promise<LoadedTable> loaded(TableHead head, StoredValue value, OperatorTable table) {
        cached = table;
        return Promise.of(new LoadedTable(head, value.revision(), table));
    }
}
