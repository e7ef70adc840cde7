/** Shares of each endpoint's slots among the entry VMs that send to it, under leases. */
@NullMarked
package org.damasktiller.routing.share;

import org.jspecify.annotations.NullMarked;
