/** Transports between entry VMs: gossip over UDP and framed MessagePack over TCP. */
@NullMarked
package org.damasktiller.daemon.peer;

import org.jspecify.annotations.NullMarked;
