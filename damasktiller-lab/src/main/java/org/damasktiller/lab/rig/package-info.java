/** Emulated services and the real programs of entry VMs, on one machine. */
@NullMarked
package org.damasktiller.lab.rig;

import org.jspecify.annotations.NullMarked;
