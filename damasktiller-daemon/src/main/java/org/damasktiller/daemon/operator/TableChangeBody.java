package org.damasktiller.daemon.operator;

import java.util.List;

/**
 * Answers an accepted edit.
 *
 * @param version the version that holds the edit
 * @param changes the changed rows, described cell by cell
 */
public record TableChangeBody(long version, List<String> changes) {

    /** Copies the list of changes. */
    public TableChangeBody {
        changes = List.copyOf(changes);
    }
}
