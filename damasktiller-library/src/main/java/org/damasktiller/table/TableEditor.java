package org.damasktiller.table;

import java.util.List;
import org.damasktiller.error.DamasktillerException;
import org.damasktiller.error.ErrorCode;
import org.damasktiller.error.Operation;
import org.damasktiller.error.Outcome;
import org.damasktiller.store.SwapResult;

/**
 * Decides the steps of one edit under compare-and-swap. It does no I/O: whoever drives it carries
 * out the {@link EditAction} and reports the outcome. A write without an answer is read back and
 * recognised by the identity of the edit; it is never repeated on another revision of the head
 * unless the read shows that it did not and cannot take effect.
 */
final class TableEditor {

    /** How often the table is read before the edit is given up. */
    static final int MAXIMUM_LOADS = 8;

    /** The edit. */
    private final TableEdit edit;

    /** The rules for whole tables. */
    private final TableValidator validator;

    /** The highest version known to be in force; the store must not be behind it. */
    private final long floorVersion;

    /** How often the table was read. */
    private int loads;

    /** Whether a write got no answer. */
    private boolean ambiguous;

    /** The revision of the head on which the latest write depended. */
    private long writtenOnRevision;

    /** The answer if the latest write took effect. */
    private EditResult pending = new EditResult(0, List.of());

    /**
     * Creates an editor.
     *
     * @param edit the edit
     * @param validator the rules for whole tables
     * @param floorVersion the highest version known to be in force
     */
    TableEditor(TableEdit edit, TableValidator validator, long floorVersion) {
        this.edit = edit;
        this.validator = validator;
        this.floorVersion = floorVersion;
    }

    /**
     * Decides on the table as read from the store.
     *
     * @param loaded the table in force
     * @param deltas the edits accepted after the base of this one, searched for its identity
     * @param nowMillis the time, in milliseconds since 1970
     * @return what is needed next
     * @throws DamasktillerException with code TABLE_CONFLICT, BAD_TABLE or STORE_UNAVAILABLE
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
     * Decides on the answer to the write of the head.
     *
     * @param result the answer
     * @return what is needed next
     */
    EditAction onSwap(SwapResult result) {
        return result.applied() ? new EditAction.Done(pending) : new EditAction.Load();
    }

    /**
     * Decides after a write of the head without an answer.
     *
     * @return what is needed next
     */
    EditAction onNoAnswer() {
        ambiguous = true;
        return new EditAction.Load();
    }

    /**
     * Makes the error for an edit that is given up because the store does not answer.
     *
     * @param reason what happened
     * @return the error; its outcome is unknown if a write may yet take effect
     */
    DamasktillerException unavailable(String reason) {
        return new DamasktillerException(
                ErrorCode.STORE_UNAVAILABLE,
                Operation.COMMIT,
                "store",
                ambiguous ? Outcome.OUTCOME_UNKNOWN : Outcome.NOT_RUN,
                reason
                        + (ambiguous
                                ? "; the edit may be in force, send it again with its identity "
                                        + edit.id()
                                : "; the edit is not in force"));
    }

    /**
     * Merges the edit and plans its writes.
     *
     * @param loaded the table in force
     * @param nowMillis the time, in milliseconds since 1970
     * @return what is needed next
     */
    private EditAction write(LoadedTable loaded, long nowMillis) {
        List<RowChange> changes = TableMerge.merge(edit, loaded.table());
        if (changes.isEmpty()) {
            return new EditAction.Done(new EditResult(loaded.table().version(), List.of()));
        }
        long version = loaded.table().version() + 1;
        validator.validate(loaded.table().with(version, changes).rows());
        TableDelta delta =
                new TableDelta(version, edit.id(), edit.operator(), nowMillis, true, changes);
        pending = new EditResult(version, changes);
        writtenOnRevision = loaded.revision();
        return HeadPlanner.next(loaded, delta);
    }

    /**
     * Checks that the store is not behind what is in force, and that the edit is worth another try.
     *
     * @param loaded the table in force
     */
    private void checkStore(LoadedTable loaded) {
        if (loaded.table().version() < floorVersion) {
            throw unavailable(
                    "the store is back at table version "
                            + loaded.table().version()
                            + " while "
                            + floorVersion
                            + " is in force and being written back");
        }
        if (loads > MAXIMUM_LOADS) {
            throw unavailable("the edit lost the race " + MAXIMUM_LOADS + " times");
        }
    }
}
