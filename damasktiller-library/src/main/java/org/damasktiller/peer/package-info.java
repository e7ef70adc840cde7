/** Messages between entry VMs over TCP, and the spread of the table over zones, without I/O. */
@NullMarked
package org.damasktiller.peer;

import org.jspecify.annotations.NullMarked;
