package org.damasktiller.scheduler.cell;

/**
 * The stored value of a cell's head key. Each commit of the owner replaces it on condition of its
 * revision, so that a late commit, or one of a previous owner, fails.
 *
 * @param generation the generation of the owner, which is the fencing token in its requests to
 *     workers
 * @param sequence the number of the commit in this generation; 0 was written by the election
 * @param node the name of the node that owns the cell
 */
public record HeadRecord(long generation, long sequence, String node) {}
