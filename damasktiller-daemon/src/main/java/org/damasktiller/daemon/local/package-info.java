/** The local run: the whole system on loopback with a short mixed load. */
@NullMarked
package org.damasktiller.daemon.local;

import org.jspecify.annotations.NullMarked;
