/** Listeners for HTTP with limits of size and time. */
@NullMarked
package org.damasktiller.daemon.http;

import org.jspecify.annotations.NullMarked;
