package org.damasktiller.table;

import io.activej.promise.Promise;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.damasktiller.error.DamasktillerException;
import org.damasktiller.error.ErrorCode;
import org.damasktiller.error.Operation;
import org.damasktiller.error.Outcome;
import org.damasktiller.store.KeyValueStore;
import org.damasktiller.store.StoredValue;

/**
 * Reads accepted edits and earlier versions of the table from the store. Confined to one reactor
 * thread.
 */
final class TableHistory {

    /** The key-value service. */
    private final KeyValueStore store;

    /**
     * Creates a history.
     *
     * @param store the key-value service
     */
    TableHistory(KeyValueStore store) {
        this.store = store;
    }

    /**
     * Reads the deltas after a version. The segments are read only if the head does not contain all
     * of these deltas.
     *
     * @param loaded the current table
     * @param version the version after which deltas are returned
     * @return the deltas up to the current version, latest first, without those already deleted
     */
    Promise<List<TableDelta>> deltasAfter(LoadedTable loaded, long version) {
        List<TableDelta> tail = loaded.head().tail();
        boolean tailCoversRange = !tail.isEmpty() && tail.get(0).version() <= version + 1;
        if (tailCoversRange || version >= loaded.table().version()) {
            return Promise.of(mergeDeltas(loaded, List.of(), version));
        }
        return store.list(TableKeys.SEGMENT_PREFIX)
                .then(
                        segments ->
                                PromiseSuppliers.getOrFail(
                                        () -> Promise.of(mergeDeltas(loaded, segments, version))));
    }

    /**
     * Reads the table of an earlier version.
     *
     * @param loaded the current table
     * @param version the version
     * @return the table; fails with code BAD_REQUEST if the history does not contain the version
     */
    Promise<OperatorTable> tableAt(LoadedTable loaded, long version) {
        return deltasAfter(loaded, version)
                .then(
                        deltas ->
                                PromiseSuppliers.getOrFail(
                                        () -> Promise.of(undoTo(loaded, deltas, version))));
    }

    /**
     * Merges the deltas of head and segments. A version found in several records is returned once,
     * from the head if it is there. Versions later than the given table, which concurrent edits may
     * have added since it was read, are left out.
     *
     * @param loaded the current table
     * @param segments the segments as stored
     * @param version the version after which deltas are returned
     * @return the deltas, latest first
     */
    private static List<TableDelta> mergeDeltas(
            LoadedTable loaded, List<StoredValue> segments, long version) {
        List<TableDelta> merged = new ArrayList<>(loaded.head().tail());
        for (StoredValue segment : segments) {
            merged.addAll(TableCodec.decodeDeltas(segment.value()));
        }
        Set<Long> versions = new HashSet<>();
        merged.removeIf(
                delta ->
                        delta.version() <= version
                                || delta.version() > loaded.table().version()
                                || !versions.add(delta.version()));
        merged.sort(Comparator.comparingLong(TableDelta::version).reversed());
        return merged;
    }

    /**
     * Reverts edits from the current version back to an earlier one.
     *
     * @param loaded the current table
     * @param deltas the deltas after the earlier version, latest first
     * @param version the earlier version
     * @return the table of that version
     * @throws DamasktillerException with code BAD_REQUEST if a delta is missing or not complete
     */
    private static OperatorTable undoTo(LoadedTable loaded, List<TableDelta> deltas, long version) {
        OperatorTable table = loaded.table();
        for (TableDelta delta : deltas) {
            if (delta.complete() && delta.version() == table.version()) {
                table = table.undo(delta);
            }
        }
        if (table.version() == version) {
            return table;
        }
        throw new DamasktillerException(
                ErrorCode.BAD_REQUEST,
                Operation.TABLE,
                "",
                Outcome.NOT_RUN,
                "table version "
                        + version
                        + " is not in the history; available are "
                        + table.version()
                        + " to "
                        + loaded.table().version());
    }
}
