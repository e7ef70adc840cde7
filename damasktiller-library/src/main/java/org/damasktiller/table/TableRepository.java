package org.damasktiller.table;

import io.activej.promise.Promise;
import java.util.List;
import java.util.Set;
import java.util.function.LongSupplier;
import org.damasktiller.identity.ZoneName;
import org.damasktiller.store.KeyValueStore;

/**
 * Reads and edits the table in the store. Confined to one reactor thread.
 *
 * <p>The command {@code table put} calls {@link #put}, {@code table get} calls {@link #read} and
 * {@code table history} calls {@link #history}. A client creates the {@link EditId} once per edit
 * and uses it for all retries, so that the edit is applied at most once.
 */
public final class TableRepository {

    /** Parses tables in CSV and provides the rules that tables must meet. */
    private final TableReader reader;

    /** Returns the current time in milliseconds since 1970. */
    private final LongSupplier clock;

    /** Returns the latest version that this VM knows to be committed, or zero if none. */
    private final LongSupplier latestKnownVersion;

    /** Reads the current table. */
    private final TableLoader loader;

    /** Reads accepted edits and earlier versions. */
    private final TableHistory history;

    /** Writes records and head. */
    private final RecordWriter writer;

    /**
     * Creates a repository.
     *
     * @param store the key-value service
     * @param zones the availability zones that exist, or an empty set to accept any name
     * @param clock returns the current time in milliseconds since 1970
     * @param latestKnownVersion returns the latest version that this VM knows to be committed, or
     *     zero if none; edits of a store with an older version are refused
     */
    public TableRepository(
            KeyValueStore store,
            Set<ZoneName> zones,
            LongSupplier clock,
            LongSupplier latestKnownVersion) {
        this.reader = new TableReader(zones);
        this.clock = clock;
        this.latestKnownVersion = latestKnownVersion;
        this.loader = new TableLoader(store);
        this.history = new TableHistory(store);
        this.writer = new RecordWriter(store);
    }

    /**
     * Reads the current table.
     *
     * @return the table; fails with code STORE_UNAVAILABLE if the store does not answer
     */
    public Promise<OperatorTable> read() {
        return loader.loadTable();
    }

    /**
     * Reads the table of an earlier version.
     *
     * @param version the version
     * @return the table; fails with code BAD_REQUEST if the history does not contain the version
     */
    public Promise<OperatorTable> readAt(long version) {
        return loader.load().then(loaded -> history.tableAt(loaded, version));
    }

    /**
     * Lists the latest accepted edits.
     *
     * @param count the maximum number of edits
     * @return the edits, latest first
     */
    public Promise<List<TableDelta>> history(int count) {
        return loader.load()
                .then(loaded -> history.deltasAfter(loaded, 0))
                .map(deltas -> deltas.subList(0, Math.min(count, deltas.size())));
    }

    /**
     * Applies the difference between an earlier version and an edited copy of it to the current
     * table.
     *
     * @param id the ID of the edit, the same for all retries
     * @param operator the name of the operator, recorded in the history
     * @param baseVersion the version that the operator edited
     * @param csv the edited table as CSV in UTF-8
     * @return the result; fails like {@link TableReader#read}, {@link #readAt} and {@link #edit}
     */
    public Promise<EditResult> put(EditId id, String operator, long baseVersion, byte[] csv) {
        return PromiseSuppliers.getOrFail(() -> Promise.of(reader.read(csv, baseVersion)))
                .then(wanted -> mergeEditedTable(id, operator, wanted));
    }

    /**
     * Merges an edit into the current table.
     *
     * @param edit the edit
     * @return the result, once the change is stored; fails with code TABLE_CONFLICT and a message
     *     with both values if another operator changed the same cell, with BAD_TABLE if the merged
     *     table is not allowed, or with STORE_UNAVAILABLE, whose outcome shows whether the edit may
     *     have been applied
     */
    public Promise<EditResult> edit(TableEdit edit) {
        EditStateMachine stateMachine =
                new EditStateMachine(edit, reader.validator(), latestKnownVersion.getAsLong());
        return new EditExecutor(loader, history, writer, clock, edit, stateMachine).execute();
    }

    /**
     * Restores a committed table if the store holds only an older version, for example after it was
     * restored from a backup.
     *
     * @param known the latest known table
     * @return whether the store held an older version and now holds the known table
     */
    public Promise<Boolean> restoreIfOutdated(OperatorTable known) {
        return loader.load()
                .then(
                        loaded ->
                                loaded.table().version() >= known.version()
                                        ? Promise.of(false)
                                        : writer.write(HeadPlanner.planRestore(loaded, known))
                                                .map(result -> result.applied()));
    }

    /**
     * Reads the base of an edit and merges the edit into the current table.
     *
     * @param id the ID of the edit
     * @param operator the name of the operator
     * @param wanted the edited table, with the version of the base
     * @return the result
     */
    private Promise<EditResult> mergeEditedTable(EditId id, String operator, OperatorTable wanted) {
        return readAt(wanted.version())
                .then(base -> edit(new TableEdit(id, operator, base, wanted)));
    }
}
