/** Parts that the HTTP interfaces of the daemon share. */
@NullMarked
package org.damasktiller.daemon.http;

import org.jspecify.annotations.NullMarked;
