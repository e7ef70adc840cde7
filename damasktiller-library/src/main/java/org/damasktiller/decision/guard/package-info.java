/** Protects guarded services on shared workers: first by throttling, then by eviction. */
@NullMarked
package org.damasktiller.decision.guard;

import org.jspecify.annotations.NullMarked;
