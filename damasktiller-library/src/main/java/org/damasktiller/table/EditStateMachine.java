package org.damasktiller.table;

import java.util.List;
import org.damasktiller.error.DamasktillerException;
import org.damasktiller.error.ErrorCode;
import org.damasktiller.error.Operation;
import org.damasktiller.error.Outcome;
import org.damasktiller.store.SwapResult;

/**
 * Decides the actions of one edit, which commits by compare-and-swap of the head. It performs no
 * I/O: {@link EditExecutor} performs each {@link EditAction} and reports the outcome. After a write
 * without an answer the table is read again and the edit is recognised by its ID if it was applied.
 * The write is repeated on another revision of the head only if that read shows that the first
 * write was not applied and can no longer be applied.
 */
final class EditStateMachine {

    /**
     * The maximum number of attempts to commit the edit, each of which starts with a read of the
     * table.
     */
    static final int MAXIMUM_ATTEMPTS = 8;

    /** The edit. */
    private final TableEdit edit;

    /** Checks the merged table. */
    private final TableValidator validator;

    /** The latest version known to be committed; a store with an older version has lost writes. */
    private final long latestKnownVersion;

    /** The number of reads of the table so far. */
    private int loadCount;

    /** Whether a write that got no answer may have been applied or may still be applied. */
    private boolean outcomeUnknown;

    /** The revision of the head that the latest write expects. */
    private long expectedHeadRevision;

    /** The result of the edit if the latest write is applied. */
    private EditResult pendingResult = new EditResult(0, List.of());

    /**
     * Creates the state machine of one edit.
     *
     * @param edit the edit
     * @param validator checks the merged table
     * @param latestKnownVersion the latest version known to be committed, or zero if none is known
     */
    EditStateMachine(TableEdit edit, TableValidator validator, long latestKnownVersion) {
        this.edit = edit;
        this.validator = validator;
        this.latestKnownVersion = latestKnownVersion;
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
        loadCount++;
        for (TableDelta delta : deltas) {
            if (delta.id().equals(edit.id())) {
                return new EditAction.Done(new EditResult(delta.version(), delta.changes()));
            }
        }
        if (loaded.revision() != expectedHeadRevision) {
            outcomeUnknown = false;
        }
        checkStoreAndAttempts(loaded);
        return planWrite(loaded, nowMillis);
    }

    /**
     * Decides the action that follows the answer to the write of the head.
     *
     * @param result the answer of the store
     * @return the next action
     */
    EditAction onSwapResult(SwapResult result) {
        return result.applied() ? new EditAction.Done(pendingResult) : new EditAction.Load();
    }

    /**
     * Decides the action that follows a write of the head that got no answer.
     *
     * @return the next action
     */
    EditAction onNoAnswer() {
        outcomeUnknown = true;
        return new EditAction.Load();
    }

    /**
     * Creates the exception of an edit that fails because the store is unavailable.
     *
     * @param reason the cause, for the message
     * @return the exception; its outcome is OUTCOME_UNKNOWN if a write may have been applied or may
     *     still be applied, else NOT_RUN
     */
    DamasktillerException storeUnavailable(String reason) {
        return new DamasktillerException(
                ErrorCode.STORE_UNAVAILABLE,
                Operation.COMMIT,
                "store",
                outcomeUnknown ? Outcome.OUTCOME_UNKNOWN : Outcome.NOT_RUN,
                reason
                        + (outcomeUnknown
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
    private EditAction planWrite(LoadedTable loaded, long nowMillis) {
        List<RowChange> changes = TableMerge.merge(edit, loaded.table());
        if (changes.isEmpty()) {
            return new EditAction.Done(new EditResult(loaded.table().version(), List.of()));
        }
        long version = loaded.table().version() + 1;
        validator.validate(loaded.table().withChanges(version, changes).rows());
        TableDelta delta =
                new TableDelta(version, edit.id(), edit.operator(), nowMillis, true, changes);
        pendingResult = new EditResult(version, changes);
        expectedHeadRevision = loaded.revision();
        return HeadPlanner.planNextVersion(loaded, delta);
    }

    /**
     * Checks that the store has not lost committed versions and that the number of attempts is not
     * exhausted.
     *
     * @param loaded the current table
     */
    private void checkStoreAndAttempts(LoadedTable loaded) {
        if (loaded.table().version() < latestKnownVersion) {
            throw storeUnavailable(
                    "the store holds table version "
                            + loaded.table().version()
                            + " although version "
                            + latestKnownVersion
                            + " was committed and is being restored");
        }
        if (loadCount > MAXIMUM_ATTEMPTS) {
            throw storeUnavailable(
                    "the edit could not be confirmed in " + MAXIMUM_ATTEMPTS + " attempts");
        }
    }
}
