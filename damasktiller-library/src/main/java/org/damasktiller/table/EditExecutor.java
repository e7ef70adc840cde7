package org.damasktiller.table;

import io.activej.promise.Promise;
import java.util.List;
import java.util.function.LongSupplier;
import org.damasktiller.error.DamasktillerException;

/**
 * Executes one edit: performs the store accesses that its {@link EditStateMachine} requires and
 * reports their outcome to it.
 */
final class EditExecutor {

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
    private final EditStateMachine stateMachine;

    /**
     * Creates the execution of one edit.
     *
     * @param loader reads the current table
     * @param history reads the edits accepted since the base of the edit
     * @param writer writes records and head
     * @param clock returns the current time in milliseconds since 1970
     * @param edit the edit
     * @param stateMachine decides the next action; must not be shared with another edit
     */
    EditExecutor(
            TableLoader loader,
            TableHistory history,
            RecordWriter writer,
            LongSupplier clock,
            TableEdit edit,
            EditStateMachine stateMachine) {
        this.loader = loader;
        this.history = history;
        this.writer = writer;
        this.clock = clock;
        this.edit = edit;
        this.stateMachine = stateMachine;
    }

    /**
     * Reads the table and the edits accepted since the base of this edit, and continues with the
     * action that follows from them. The accepted edits show whether an earlier attempt of this
     * edit has already been applied.
     *
     * @return the result; fails with the exception of {@link EditStateMachine#onLoaded}, or with
     *     code STORE_UNAVAILABLE if the store does not answer
     */
    Promise<EditResult> execute() {
        return loader.load()
                .then(
                        loaded ->
                                history.deltasAfter(loaded, edit.base().version())
                                        .map(deltas -> new StoreState(loaded, deltas)))
                .mapException(
                        DamasktillerException.class,
                        e -> stateMachine.storeUnavailable(String.valueOf(e.getMessage())))
                .then(storeState -> PromiseSuppliers.getOrFail(() -> onStoreRead(storeState)));
    }

    /**
     * Passes the state read from the store to the state machine and performs the action that it
     * requires.
     *
     * @param storeState the state read from the store
     * @return the result of the edit
     */
    private Promise<EditResult> onStoreRead(StoreState storeState) {
        return perform(
                stateMachine.onLoaded(storeState.loaded(), storeState.deltas(), clock.getAsLong()));
    }

    /**
     * Performs an action and those that follow it.
     *
     * @param action the action that the state machine requires
     * @return the result of the edit
     */
    private Promise<EditResult> perform(EditAction action) {
        if (action instanceof EditAction.Done done) {
            return Promise.of(done.result());
        }
        if (action instanceof EditAction.Write write) {
            return writer.writeRecords(write)
                    .mapException(
                            DamasktillerException.class,
                            e -> stateMachine.storeUnavailable(String.valueOf(e.getMessage())))
                    .then(ignored -> writeHead(write));
        }
        return execute();
    }

    /**
     * Writes the head and passes the answer, or the fact that none came, to the state machine.
     *
     * @param write the write whose records are already in the store
     * @return the result of the edit
     */
    private Promise<EditResult> writeHead(EditAction.Write write) {
        return writer.writeHead(write)
                .then(
                        (result, e) ->
                                perform(
                                        e == null
                                                ? stateMachine.onSwapResult(result)
                                                : stateMachine.onNoAnswer()));
    }

    /**
     * Holds the state read from the store.
     *
     * @param loaded the head and the current table
     * @param deltas the deltas accepted after the base of the edit, latest first
     */
    private record StoreState(LoadedTable loaded, List<TableDelta> deltas) {}
}
