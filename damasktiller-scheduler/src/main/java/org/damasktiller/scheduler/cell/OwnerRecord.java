package org.damasktiller.scheduler.cell;

/**
 * The stored value of a cell's owner key.
 *
 * @param node the name of the node that owns the cell
 * @param process the identifier of the node's process, different after each start of the node
 * @param generation the generation of the owner, which is the fencing token in its requests to
 *     workers
 */
public record OwnerRecord(String node, String process, long generation) {}
