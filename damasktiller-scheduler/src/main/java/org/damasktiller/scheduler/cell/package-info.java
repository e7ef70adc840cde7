/**
 * The owner of a cell: it tracks the jobs and workers of the cell, decides which worker runs which
 * task, and commits the results to the store.
 */
@NullMarked
package org.damasktiller.scheduler.cell;

import org.jspecify.annotations.NullMarked;
