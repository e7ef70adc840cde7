package org.damasktiller.table;

import java.util.List;

/**
 * Answers an accepted edit.
 *
 * @param version the version that holds the edit
 * @param changes the rows changed; empty if the table already held the edit
 */
public record EditResult(long version, List<RowChange> changes) {

    /** Copies the list of changes. */
    public EditResult {
        changes = List.copyOf(changes);
    }
}
