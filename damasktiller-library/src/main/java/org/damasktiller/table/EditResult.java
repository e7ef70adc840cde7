package org.damasktiller.table;

import java.util.List;

/**
 * Holds the result of an accepted edit.
 *
 * @param version the version that contains the edit
 * @param changes the changed rows; empty if the table already contained every change of the edit
 */
public record EditResult(long version, List<RowChange> changes) {

    /** Makes an immutable copy of the changes. */
    public EditResult {
        changes = List.copyOf(changes);
    }
}
