/** Runs owners of a cell against stand-ins in virtual time, with faults at chosen calls. */
@NullMarked
package org.damasktiller.standin.cell;

import org.jspecify.annotations.NullMarked;
