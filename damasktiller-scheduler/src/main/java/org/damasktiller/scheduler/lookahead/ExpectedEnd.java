package org.damasktiller.scheduler.lookahead;

import org.damasktiller.scheduler.model.Resources;

/**
 * The expected end of a run.
 *
 * @param atMillis when the run is expected to end, on the monotonic clock, in milliseconds
 * @param released the resources that its end releases
 */
public record ExpectedEnd(long atMillis, Resources released) {}
