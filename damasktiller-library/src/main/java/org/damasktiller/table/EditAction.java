package org.damasktiller.table;

import java.util.List;
import org.damasktiller.store.SwapRequest;

/** The next action that an edit requires, as decided by {@link EditStateMachine}. */
sealed interface EditAction {

    /** Reads the table from the store. */
    record Load() implements EditAction {}

    /**
     * Writes records and then the head.
     *
     * @param recordWrites the snapshots and segments that must be stored before the head; one that
     *     already exists with the same bytes need not be written
     * @param headWrite the compare-and-swap of the head, which commits the new version
     */
    record Write(List<SwapRequest> recordWrites, SwapRequest headWrite) implements EditAction {}

    /**
     * Completes the edit.
     *
     * @param result the result of the edit
     */
    record Done(EditResult result) implements EditAction {}
}
