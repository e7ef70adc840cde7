package org.damasktiller.table;

import org.damasktiller.identity.KindName;

/**
 * Describes a cell to which two operators concurrently gave different values.
 *
 * @param kind the key of the row
 * @param column the header of the column, or {@code *} if one of the operators removed the row
 * @param currentText the text of the cell in the current table, or {@code removed} or {@code
 *     changed} for a whole row
 * @param refusedText the text of the cell in the refused edit, or {@code removed} or {@code
 *     changed} for a whole row
 */
public record CellConflict(KindName kind, String column, String currentText, String refusedText) {

    /** The column of a conflict that concerns the whole row. */
    static final String WHOLE_ROW = "*";

    @Override
    public String toString() {
        return "row "
                + kind
                + ", column "
                + column
                + ": in force '"
                + currentText
                + "', refused '"
                + refusedText
                + "'";
    }
}
