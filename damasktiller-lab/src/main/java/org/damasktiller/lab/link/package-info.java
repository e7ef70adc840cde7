/**
 * A loopback TCP proxy that injects network faults: delayed, held, stalled, closed and refused
 * connections.
 */
@NullMarked
package org.damasktiller.lab.link;

import org.jspecify.annotations.NullMarked;
