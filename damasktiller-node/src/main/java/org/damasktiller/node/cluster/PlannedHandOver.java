package org.damasktiller.node.cluster;

/**
 * A cell that its owner should hand over.
 *
 * @param cell the name of the cell
 * @param candidate the process that ranks first for the cell
 * @param owned how many cells the owner has
 * @param share how many cells the owner would have if each process had cells in proportion to its
 *     processor time, rounded up
 * @param termMillis how long the owner has owned the cell, in milliseconds
 */
record PlannedHandOver(String cell, NodeRecord candidate, int owned, int share, long termMillis) {}
