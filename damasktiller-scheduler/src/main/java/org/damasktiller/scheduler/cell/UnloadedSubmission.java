package org.damasktiller.scheduler.cell;

/**
 * A stored submission of a cell that its owner has not loaded.
 *
 * @param id the identifier of the submission
 * @param route the name of its route
 * @param revision the store revision of its entry in the cell
 * @param bytes the memory that it takes once it is loaded, in bytes
 */
record UnloadedSubmission(String id, String route, long revision, long bytes) {}
