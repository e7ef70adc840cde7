/** Drives the owners of cells: their events, calls and clock. */
@NullMarked
package org.damasktiller.daemon.cell;

import org.jspecify.annotations.NullMarked;
