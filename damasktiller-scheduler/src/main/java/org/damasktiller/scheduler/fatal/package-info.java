/** Tells which errors a process must not survive. */
@NullMarked
package org.damasktiller.scheduler.fatal;

import org.jspecify.annotations.NullMarked;
