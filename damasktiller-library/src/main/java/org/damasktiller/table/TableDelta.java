package org.damasktiller.table;

import java.util.List;

/**
 * Holds one accepted edit: what turns the table of the version before into this one.
 *
 * @param version the version that the edit made
 * @param id the identity of the edit
 * @param operator the name of the operator
 * @param acceptedAtMillis when the edit was accepted, in milliseconds since 1970
 * @param complete whether the changes are listed; an edit too large for a delta is read from its
 *     snapshot instead
 * @param changes the changed rows, each kind once
 */
public record TableDelta(
        long version,
        EditId id,
        String operator,
        long acceptedAtMillis,
        boolean complete,
        List<RowChange> changes) {

    /** Copies the list of changes. */
    public TableDelta {
        changes = List.copyOf(changes);
    }

    /**
     * Leaves out the rows before, which only the history needs.
     *
     * @return the delta as it is sent between members
     */
    public TableDelta withoutBefore() {
        return new TableDelta(
                version,
                id,
                operator,
                acceptedAtMillis,
                complete,
                changes.stream().map(RowChange::withoutBefore).toList());
    }

    /**
     * Leaves out the changes of an edit too large for a delta.
     *
     * @return the delta with its identity only
     */
    TableDelta withoutChanges() {
        return new TableDelta(version, id, operator, acceptedAtMillis, false, List.of());
    }
}
