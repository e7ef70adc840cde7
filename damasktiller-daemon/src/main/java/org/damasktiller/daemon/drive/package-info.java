/**
 * Drives state machines without I/O: events in order on a pool of threads, actions on the reactor.
 */
@NullMarked
package org.damasktiller.daemon.drive;

import org.jspecify.annotations.NullMarked;
