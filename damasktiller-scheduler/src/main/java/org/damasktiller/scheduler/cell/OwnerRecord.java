package org.damasktiller.scheduler.cell;

/**
 * The value of the key of a cell's owner.
 *
 * @param node the node that owns the cell
 * @param process the number of the node's process, different after each start
 * @param generation the generation of the owner
 */
public record OwnerRecord(String node, String process, long generation) {}
