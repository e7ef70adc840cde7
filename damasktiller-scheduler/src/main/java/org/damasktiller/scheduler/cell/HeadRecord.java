package org.damasktiller.scheduler.cell;

/**
 * The value of a cell's head key, replaced by each commit of the owner.
 *
 * @param generation the generation of the owner, which is the fencing token at the workers
 * @param sequence the number of the commit in the generation
 * @param node the node that owns the cell
 */
public record HeadRecord(long generation, long sequence, String node) {}
