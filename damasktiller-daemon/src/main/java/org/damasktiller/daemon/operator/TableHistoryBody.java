package org.damasktiller.daemon.operator;

import java.util.List;

/**
 * Tells the latest accepted edits.
 *
 * @param edits the edits, the latest first
 */
public record TableHistoryBody(List<EditBody> edits) {

    /** Copies the list of edits. */
    public TableHistoryBody {
        edits = List.copyOf(edits);
    }

    /**
     * Tells one accepted edit.
     *
     * @param version the version that holds it
     * @param editId its identity
     * @param operator the name of the operator
     * @param acceptedAtMillis when it was accepted, in milliseconds since 1970
     * @param changes the changed rows, described cell by cell
     */
    public record EditBody(
            long version,
            String editId,
            String operator,
            long acceptedAtMillis,
            List<String> changes) {}
}
