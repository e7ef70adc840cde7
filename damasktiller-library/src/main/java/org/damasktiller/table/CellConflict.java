package org.damasktiller.table;

import org.damasktiller.identity.KindName;

/**
 * Holds one cell that two operators changed differently.
 *
 * @param kind the row
 * @param column the column, or {@code *} if one of them removed the row
 * @param theirs the value in force
 * @param mine the value of the refused edit
 */
public record CellConflict(KindName kind, String column, String theirs, String mine) {

    /** Stands for the whole row. */
    static final String WHOLE_ROW = "*";

    @Override
    public String toString() {
        return "row "
                + kind
                + ", column "
                + column
                + ": in force '"
                + theirs
                + "', refused '"
                + mine
                + "'";
    }
}
