package org.damasktiller.node.cluster;

/**
 * A cell that this process owns.
 *
 * @param place the cell and where it is
 * @param settled whether no previous owner can start anything any more
 * @param termMillis how long this process has owned the cell, in milliseconds
 */
record OwnedCell(CellPlace place, boolean settled, long termMillis) {}
