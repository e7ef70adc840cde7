/** The damasktiller program. */
@NullMarked
package org.damasktiller.daemon;

import org.jspecify.annotations.NullMarked;
