/** The entry VM: its listeners, its parts and its shutdown. */
@NullMarked
package org.damasktiller.daemon.entry;

import org.jspecify.annotations.NullMarked;
