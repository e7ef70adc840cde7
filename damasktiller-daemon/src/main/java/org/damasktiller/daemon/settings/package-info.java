/** Settings from flags and environment variables, checked at start. */
@NullMarked
package org.damasktiller.daemon.settings;

import org.jspecify.annotations.NullMarked;
