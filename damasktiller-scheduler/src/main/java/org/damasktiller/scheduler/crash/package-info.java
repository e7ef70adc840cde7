/**
 * Decisions on tasks that crash their workers: which runs a crash counts against, which tasks are
 * suspect, and which are given up. They depend neither on the store, the workers nor a clock.
 */
@NullMarked
package org.damasktiller.scheduler.crash;

import org.jspecify.annotations.NullMarked;
