/**
 * The interfaces through which the scheduler uses the platform: the store, the workers, the advice
 * service, the log, and the clocks and timers.
 */
@NullMarked
package org.damasktiller.scheduler.port;

import org.jspecify.annotations.NullMarked;
