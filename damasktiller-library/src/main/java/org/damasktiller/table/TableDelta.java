package org.damasktiller.table;

import java.util.List;

/**
 * Describes one accepted edit as the difference between the previous version of the table and the
 * version that the edit created.
 *
 * @param version the version that the edit created
 * @param id the ID of the edit
 * @param operator the name of the operator
 * @param acceptedAtMillis when the edit was accepted, in milliseconds since 1970
 * @param complete whether the changes are included; the result of an edit too large for a delta is
 *     stored as a snapshot instead
 * @param changes the changed rows, one per kind; empty if the delta is not complete
 */
public record TableDelta(
        long version,
        EditId id,
        String operator,
        long acceptedAtMillis,
        boolean complete,
        List<RowChange> changes) {

    /** Makes an immutable copy of the changes. */
    public TableDelta {
        changes = List.copyOf(changes);
    }

    /**
     * Returns the delta without the rows before the edit, which only the history needs.
     *
     * @return the delta as sent between nodes
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
     * Returns the delta without the changes, for an edit whose result is stored as a snapshot.
     *
     * @return the incomplete delta, which still identifies the edit in the history
     */
    TableDelta withoutChanges() {
        return new TableDelta(version, id, operator, acceptedAtMillis, false, List.of());
    }
}
