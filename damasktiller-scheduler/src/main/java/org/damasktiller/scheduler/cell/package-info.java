/** The owner of a cell: the jobs, the workers, what runs where, and what is committed. */
@NullMarked
package org.damasktiller.scheduler.cell;

import org.jspecify.annotations.NullMarked;
