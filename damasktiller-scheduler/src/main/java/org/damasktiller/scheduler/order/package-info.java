/**
 * Decides in which order waiting steps get workers. The decisions use neither the store nor the
 * workers nor a clock.
 */
@NullMarked
package org.damasktiller.scheduler.order;

import org.jspecify.annotations.NullMarked;
