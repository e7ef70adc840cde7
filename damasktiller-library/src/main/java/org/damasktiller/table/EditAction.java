package org.damasktiller.table;

import java.util.List;
import org.damasktiller.store.SwapRequest;

/** Tells what an edit needs next. */
sealed interface EditAction {

    /** Asks to read the table from the store. */
    record Load() implements EditAction {}

    /**
     * Asks to write.
     *
     * @param preparations immutable records to write first; one that exists already is as good
     * @param head the write that decides
     */
    record Write(List<SwapRequest> preparations, SwapRequest head) implements EditAction {}

    /**
     * Ends the edit.
     *
     * @param result the answer
     */
    record Done(EditResult result) implements EditAction {}
}
