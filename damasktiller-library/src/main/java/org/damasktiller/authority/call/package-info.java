/** Calls to the key-value service as values, so that state machines can ask for them. */
@NullMarked
package org.damasktiller.authority.call;

import org.jspecify.annotations.NullMarked;
