package org.damasktiller.table;

import io.activej.promise.Promise;
import java.util.List;
import java.util.Set;
import java.util.function.LongSupplier;
import org.damasktiller.identity.ZoneName;
import org.damasktiller.store.KeyValueStore;

/**
 * Reads and edits the table in the store. Belongs to one reactor thread.
 *
 * <p>Use: {@code put(id, operator, baseVersion, csv)} for {@code table put}, {@code read()} for
 * {@code table get} and {@code history(n)} for {@code table history}. An operator's tool makes the
 * {@link EditId} once for an edit and keeps it over all retries.
 */
public final class TableRepository {

    /** Reads tables as CSV, with the rules for whole tables. */
    private final TableReader reader;

    /** The time, in milliseconds since 1970. */
    private final LongSupplier clock;

    /** The highest version known to be in force on this VM. */
    private final LongSupplier floorVersion;

    /** Reads the table. */
    private final TableLoader loader;

    /** Reads older deltas. */
    private final TableHistory history;

    /** Writes the records. */
    private final RecordWriter writer;

    /**
     * Creates a repository.
     *
     * @param store the key-value service
     * @param zones the availability zones that exist, or an empty set to accept any name
     * @param clock the time, in milliseconds since 1970
     * @param floorVersion the highest version known to be in force on this VM, zero if none
     */
    public TableRepository(
            KeyValueStore store,
            Set<ZoneName> zones,
            LongSupplier clock,
            LongSupplier floorVersion) {
        this.reader = new TableReader(zones);
        this.clock = clock;
        this.floorVersion = floorVersion;
        this.loader = new TableLoader(store);
        this.history = new TableHistory(store);
        this.writer = new RecordWriter(store);
    }

    /**
     * Reads the table in force.
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
     * @return the table; fails with code BAD_REQUEST if the history does not reach back to it
     */
    public Promise<OperatorTable> readAt(long version) {
        return loader.load().then(loaded -> history.tableAt(loaded, version));
    }

    /**
     * Lists the latest accepted edits.
     *
     * @param count how many at most
     * @return the edits, the latest first
     */
    public Promise<List<TableDelta>> history(int count) {
        return loader.load()
                .then(loaded -> history.deltasAfter(loaded, 0))
                .map(deltas -> deltas.subList(0, Math.min(count, deltas.size())));
    }

    /**
     * Puts a table in place of an earlier version.
     *
     * @param id the identity of the edit
     * @param operator the name of the operator
     * @param baseVersion the version from which the operator started
     * @param csv the wanted table
     * @return the answer; fails like {@link #edit} and {@link #readAt}
     */
    public Promise<EditResult> put(EditId id, String operator, long baseVersion, byte[] csv) {
        return Attempt.of(() -> Promise.of(reader.read(csv, baseVersion)))
                .then(wanted -> putOver(id, operator, wanted));
    }

    /**
     * Merges an edit into the table in force.
     *
     * @param edit the edit
     * @return the answer, when the change is in the store; fails with code TABLE_CONFLICT that
     *     shows both values if another operator changed the same cell, BAD_TABLE if the merged
     *     table is not allowed, or STORE_UNAVAILABLE, whose outcome tells whether the edit may be
     *     in force
     */
    public Promise<EditResult> edit(TableEdit edit) {
        TableEditor editor = new TableEditor(edit, reader.validator(), floorVersion.getAsLong());
        return new EditRun(loader, history, writer, clock, edit, editor).run();
    }

    /**
     * Writes back a table that is in force while the store came back with an older one.
     *
     * @param known the table in force
     * @return whether the store was behind and now holds the table
     */
    public Promise<Boolean> repair(OperatorTable known) {
        return loader.load()
                .then(
                        loaded ->
                                loaded.table().version() >= known.version()
                                        ? Promise.of(false)
                                        : writer.write(HeadPlanner.restore(loaded, known))
                                                .map(result -> result.applied()));
    }

    /**
     * Reads the base of an edit and merges it.
     *
     * @param id the identity of the edit
     * @param operator the name of the operator
     * @param wanted the wanted table, with the version of the base
     * @return the answer
     */
    private Promise<EditResult> putOver(EditId id, String operator, OperatorTable wanted) {
        return readAt(wanted.version())
                .then(base -> edit(new TableEdit(id, operator, base, wanted)));
    }
}
