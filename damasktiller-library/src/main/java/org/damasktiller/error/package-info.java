/** Errors with codes that carry the step and the peer at which they arose. */
@NullMarked
package org.damasktiller.error;

import org.jspecify.annotations.NullMarked;
