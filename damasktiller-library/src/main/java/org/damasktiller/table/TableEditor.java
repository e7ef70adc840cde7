package org.damasktiller.table;

import java.util.List;
import org.damasktiller.error.DamasktillerException;
import org.damasktiller.error.ErrorCode;
import org.damasktiller.error.Outcome;
import org.damasktiller.error.Step;
import org.damasktiller.store.SwapResult;

/**
 * Decides the actions of one edit, which commits by compare-and-swap of the head. It performs no
 * I/O: {@link EditRun} performs each {@link EditAction} and reports the outcome. After a write
 * without an answer the table is read again and the edit is recognised by its ID if it was applied.
 * The write is repeated on another revision of the head only if that read shows that the first
 * write was not applied and can no longer be applied.
 */
final class TableEditor {

    /**
     * The maximum number of attempts to commit the edit, each of which starts with a read of the
     * table.
     */
    static final int MAXIMUM_LOADS = 8;

    /** The edit. */
    private final TableEdit edit;

    /** Checks the merged table. */
    private final TableRules rules;

    /** The latest version known to be committed; a store with an older version has lost writes. */
    private final long floorVersion;

    /** The number of reads of the table so far. */
    private int loads;

    /** Whether a write that got no answer may have been applied or may still be applied. */
    private boolean ambiguous;

    /** The revision of the head that the latest write expects. */
    private long writtenOnRevision;

    /** The result of the edit if the latest write is applied. */
    private EditResult pending = new EditResult(0, List.of());

    /**
     * Creates an editor for one edit.
     *
     * @param edit the edit
     * @param rules checks the merged table
     * @param floorVersion the latest version known to be committed, or zero if none is known
     */
    TableEditor(TableEdit edit, TableRules rules, long floorVersion) {
        this.edit = edit;
        this.rules = rules;
        this.floorVersion = floorVersion;
    }

    /**
     * Decides the action that follows a read of the table.
     *
     * @param loaded the current table
     * @param deltas the edits accepted after the base of this edit, searched for its ID
     * @param nowMillis the current time in milliseconds since 1970
     * @return the next action: {@link EditAction.Done} if the edit is already applied or changes
     *     nothing, else {@link EditAction.Write}
     * @throws DamasktillerException with code TABLE_CONFLICT if another operator changed the same
     *     cell, BAD_TABLE if the merged table is not allowed, or STORE_UNAVAILABLE if the store has
     *     lost writes or the number of attempts is exhausted
     */
    EditAction onLoaded(LoadedTable loaded, List<TableDelta> deltas, long nowMillis) {
        loads++;
        for (TableDelta delta : deltas) {
            if (delta.id().equals(edit.id())) {
                return new EditAction.Done(new EditResult(delta.version(), delta.changes()));
            }
        }
        if (loaded.revision() != writtenOnRevision) {
            ambiguous = false;
        }
        checkStore(loaded);
        return write(loaded, nowMillis);
    }

    /**
     * Decides the action that follows the answer to the write of the head.
     *
     * @param result the answer of the store
     * @return the next action
     */
    EditAction onSwap(SwapResult result) {
        return result.applied() ? new EditAction.Done(pending) : new EditAction.Load();
    }

    /**
     * Decides the action that follows a write of the head that got no answer.
     *
     * @return the next action
     */
    EditAction onNoAnswer() {
        ambiguous = true;
        return new EditAction.Load();
    }

    /**
     * Creates the exception of an edit that fails because the store is unavailable.
     *
     * @param reason the cause, for the message
     * @return the exception; its outcome is OUTCOME_UNKNOWN if a write may have been applied or may
     *     still be applied, else NOT_RUN
     */
    DamasktillerException unavailable(String reason) {
        return new DamasktillerException(
                ErrorCode.STORE_UNAVAILABLE,
                Step.COMMIT,
                "store",
                ambiguous ? Outcome.OUTCOME_UNKNOWN : Outcome.NOT_RUN,
                reason
                        + (ambiguous
                                ? "; the edit may have been applied, retry it with the same ID "
                                        + edit.id()
                                : "; the edit has not been applied"));
    }

    /**
     * Merges the edit into the current table and plans the writes.
     *
     * @param loaded the current table
     * @param nowMillis the current time in milliseconds since 1970
     * @return the next action
     */
    private EditAction write(LoadedTable loaded, long nowMillis) {
        List<RowChange> changes = TableMerge.merge(edit, loaded.table());
        if (changes.isEmpty()) {
            return new EditAction.Done(new EditResult(loaded.table().version(), List.of()));
        }
        long version = loaded.table().version() + 1;
        rules.check(loaded.table().with(version, changes).rows());
        TableDelta delta =
                new TableDelta(version, edit.id(), edit.operator(), nowMillis, true, changes);
        pending = new EditResult(version, changes);
        writtenOnRevision = loaded.revision();
        return HeadPlanner.next(loaded, delta);
    }

    /**
     * Checks that the store has not lost committed versions and that the number of attempts is not
     * exhausted.
     *
     * @param loaded the current table
     */
    private void checkStore(LoadedTable loaded) {
        if (loaded.table().version() < floorVersion) {
            throw unavailable(
                    "the store holds table version "
                            + loaded.table().version()
                            + " although version "
                            + floorVersion
                            + " was committed and is being restored");
        }
        if (loads > MAXIMUM_LOADS) {
            throw unavailable("the edit could not be confirmed in " + MAXIMUM_LOADS + " attempts");
        }
    }
}
