/** Keeps work away from failing workers, and stops jobs that fail everywhere or can never run. */
@NullMarked
package org.damasktiller.decision.health;

import org.jspecify.annotations.NullMarked;
