package org.damasktiller.decision.interference;

import org.damasktiller.identity.WorkerId;

/**
 * Holds a lagging measurement of how much a kind was slowed down on a worker.
 *
 * @param worker the worker
 * @param victim the number of the kind that was measured
 * @param slowdown the time taken divided by the time taken alone
 * @param fromMillis the begin of the measurement, in milliseconds
 * @param toMillis its end, in milliseconds
 */
public record SlowdownReport(
        WorkerId worker, int victim, double slowdown, long fromMillis, long toMillis) {}
