/**
 * Placement that looks at what is waiting and at what will end soon: forecasts of the room of
 * workers, and reservations for large tasks. No I/O.
 */
@NullMarked
package org.damasktiller.scheduler.lookahead;

import org.jspecify.annotations.NullMarked;
