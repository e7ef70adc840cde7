package org.damasktiller.table;

/**
 * Holds the current table and head as read from the store.
 *
 * @param head the head
 * @param revision the revision of the head in the store, or zero if the store has no head
 * @param table the table that the head describes
 */
record LoadedTable(TableHead head, long revision, OperatorTable table) {

    /** The result of reading a store that has no table yet. */
    static final LoadedTable EMPTY = new LoadedTable(TableHead.EMPTY, 0, OperatorTable.EMPTY);
}
