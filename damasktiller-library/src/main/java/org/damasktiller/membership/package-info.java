/**
 * Membership of the entry VMs of one availability zone by gossip, as state machines without I/O.
 */
@NullMarked
package org.damasktiller.membership;

import org.jspecify.annotations.NullMarked;
