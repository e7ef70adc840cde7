package org.damasktiller.daemon.entry;

import org.damasktiller.table.OperatorTable;

/**
 * Holds the table in force on this VM. Its version only rises, whichever source a table comes from.
 * Safe for use by several threads.
 */
public final class TableInForce {

    /** The table. */
    private volatile OperatorTable table = OperatorTable.EMPTY;

    /** Creates a holder with the empty table of version 0. */
    public TableInForce() {}

    /**
     * Takes a table into force unless one of the same or a later version is.
     *
     * @param candidate the table
     * @return whether it was taken
     */
    public synchronized boolean accept(OperatorTable candidate) {
        if (candidate.version() <= table.version()) {
            return false;
        }
        table = candidate;
        return true;
    }

    /**
     * Returns the table in force.
     *
     * @return the table
     */
    public OperatorTable get() {
        return table;
    }
}
