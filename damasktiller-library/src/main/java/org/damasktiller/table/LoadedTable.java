package org.damasktiller.table;

/**
 * Holds the table as read from the store.
 *
 * @param head the head
 * @param revision the revision of the head in the store, or zero if there is none
 * @param table the table in force
 */
record LoadedTable(TableHead head, long revision, OperatorTable table) {

    /** The state of a store without a table. */
    static final LoadedTable EMPTY = new LoadedTable(TableHead.EMPTY, 0, OperatorTable.EMPTY);
}
