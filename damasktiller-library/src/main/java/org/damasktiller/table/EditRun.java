package org.damasktiller.table;

import io.activej.promise.Promise;
import java.util.List;
import java.util.function.LongSupplier;
import org.damasktiller.error.DamasktillerException;

/** Carries out the actions of one {@link TableEditor} and reports their outcome to it. */
final class EditRun {

    /** Reads the table. */
    private final TableLoader loader;

    /** Reads older deltas. */
    private final TableHistory history;

    /** Writes the records. */
    private final RecordWriter writer;

    /** The time, in milliseconds since 1970. */
    private final LongSupplier clock;

    /** The edit. */
    private final TableEdit edit;

    /** Decides the steps. */
    private final TableEditor editor;

    /**
     * Creates a run.
     *
     * @param loader reads the table
     * @param history reads older deltas
     * @param writer writes the records
     * @param clock the time, in milliseconds since 1970
     * @param edit the edit
     * @param editor decides the steps
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
     * Reads the table, and older edits where the identity may be among them, and decides.
     *
     * @return the answer
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
     * Lets the editor decide on a reading of the store.
     *
     * @param reading the reading
     * @return the answer
     */
    private Promise<EditResult> decide(Reading reading) {
        return carryOut(editor.onLoaded(reading.loaded(), reading.deltas(), clock.getAsLong()));
    }

    /**
     * Carries out what the editor needs next.
     *
     * @param action what it needs
     * @return the answer
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
     * Writes the head and lets the editor decide on the answer or on its absence.
     *
     * @param write the writes
     * @return the answer
     */
    private Promise<EditResult> writeHead(EditAction.Write write) {
        return writer.writeHead(write)
                .then(
                        (result, e) ->
                                carryOut(e == null ? editor.onSwap(result) : editor.onNoAnswer()));
    }

    /**
     * Holds one reading of the store.
     *
     * @param loaded head and table
     * @param deltas the deltas after the base of the edit, the latest first
     */
    private record Reading(LoadedTable loaded, List<TableDelta> deltas) {}
}
