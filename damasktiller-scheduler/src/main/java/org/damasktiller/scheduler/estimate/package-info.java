/**
 * Estimates how long tasks run, as declared or as learned from earlier runs. Uses neither the store
 * nor the workers nor a clock.
 */
@NullMarked
package org.damasktiller.scheduler.estimate;

import org.jspecify.annotations.NullMarked;
