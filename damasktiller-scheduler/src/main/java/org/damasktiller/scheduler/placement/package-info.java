/**
 * Decides which workers are kept for which kind of work. The decisions use neither the store nor
 * the workers nor a clock.
 */
@NullMarked
package org.damasktiller.scheduler.placement;

import org.jspecify.annotations.NullMarked;
