package org.damasktiller.table;

import io.activej.promise.Promise;
import java.util.List;
import java.util.function.LongSupplier;
import org.damasktiller.error.DamasktillerException;

/**
 * Executes one edit: performs the store accesses that its {@link TableEditor} requires and reports
 * their outcome to it.
 */
final class EditRun {

    /** Reads the current table. */
    private final TableLoader loader;

    /** Reads the edits accepted since the base of the edit. */
    private final TableHistory history;

    /** Writes records and head. */
    private final RecordWriter writer;

    /** Returns the current time in milliseconds since 1970. */
    private final LongSupplier clock;

    /** The edit. */
    private final TableEdit edit;

    /** Decides the next action. */
    private final TableEditor editor;

    /**
     * Creates the execution of one edit.
     *
     * @param loader reads the current table
     * @param history reads the edits accepted since the base of the edit
     * @param writer writes records and head
     * @param clock returns the current time in milliseconds since 1970
     * @param edit the edit
     * @param editor decides the next action; must not be shared with another edit
     */
    EditRun(
            TableLoader loader,
            TableHistory history,
            RecordWriter writer,
            LongSupplier clock,
            TableEdit edit,
            TableEditor editor) {
        this.loader = loader;
        this.history = history;
        this.writer = writer;
        this.clock = clock;
        this.edit = edit;
        this.editor = editor;
    }

    /**
     * Reads the table and the edits accepted since the base of this edit, and continues with the
     * action that follows from them. The accepted edits show whether an earlier attempt of this
     * edit has already been applied.
     *
     * @return the result; fails with the exception of {@link TableEditor#onLoaded}, or with code
     *     STORE_UNAVAILABLE if the store does not answer
     */
    Promise<EditResult> run() {
        return loader.load()
                .then(
                        loaded ->
                                history.deltasAfter(loaded, edit.base().version())
                                        .map(deltas -> new Reading(loaded, deltas)))
                .mapException(
                        DamasktillerException.class,
                        e -> editor.unavailable(String.valueOf(e.getMessage())))
                .then(reading -> Attempt.of(() -> decide(reading)));
    }

    /**
     * Passes the state read from the store to the editor and performs the action that it requires.
     *
     * @param reading the state read from the store
     * @return the result of the edit
     */
    private Promise<EditResult> decide(Reading reading) {
        return carryOut(editor.onLoaded(reading.loaded(), reading.deltas(), clock.getAsLong()));
    }

    /**
     * Performs an action and those that follow it.
     *
     * @param action the action that the editor requires
     * @return the result of the edit
     */
    private Promise<EditResult> carryOut(EditAction action) {
        if (action instanceof EditAction.Done done) {
            return Promise.of(done.result());
        }
        if (action instanceof EditAction.Write write) {
            return writer.prepare(write)
                    .mapException(
                            DamasktillerException.class,
                            e -> editor.unavailable(String.valueOf(e.getMessage())))
                    .then(ignored -> writeHead(write));
        }
        return run();
    }

    /**
     * Writes the head and passes the answer, or the fact that none came, to the editor.
     *
     * @param write the write whose records are already in the store
     * @return the result of the edit
     */
    private Promise<EditResult> writeHead(EditAction.Write write) {
        return writer.writeHead(write)
                .then(
                        (result, e) ->
                                carryOut(e == null ? editor.onSwap(result) : editor.onNoAnswer()));
    }

    /**
     * Holds the state read from the store.
     *
     * @param loaded the head and the current table
     * @param deltas the deltas accepted after the base of the edit, latest first
     */
    private record Reading(LoadedTable loaded, List<TableDelta> deltas) {}
}
