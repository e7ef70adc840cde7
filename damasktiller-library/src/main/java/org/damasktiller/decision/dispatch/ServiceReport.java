package org.damasktiller.decision.dispatch;

import org.damasktiller.identity.JobId;

/**
 * Holds a lagging measurement of one instance of a guarded service.
 *
 * @param service the instance
 * @param milliProcessorsUsed the processors used, in thousandths
 * @param latencyMillis the latency, in milliseconds
 * @param fromMillis the begin of the measurement, in milliseconds
 * @param toMillis its end, in milliseconds
 */
public record ServiceReport(
        JobId service,
        long milliProcessorsUsed,
        double latencyMillis,
        long fromMillis,
        long toMillis) {}
