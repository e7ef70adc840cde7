package org.damasktiller.benchmark.decisions;

import org.damasktiller.decision.fairshare.PendingJob;
import org.damasktiller.resource.Resources;

/** Holds one instance of a service on a worker. */
final class FakeService {

    /** The latency without load, in milliseconds. */
    private static final double IDLE_MILLIS = 40;

    /** How much the latency grows with the load. */
    private static final double QUEUEING = 0.5;

    /** How near the full load the latency grows without bound. */
    private static final double SATURATION = 0.9;

    /** The instance as the policy sees it. */
    final PendingJob job;

    /** The position of its kind. */
    final int kind;

    /** The number of the zone whose callers it serves. */
    final int zone;

    /** What is reserved for it. */
    Resources reserved;

    /** The part of its full load. */
    double load;

    /** The slowdown in the last second. */
    double slowdown = 1;

    /** The sum of latencies since the last report, in milliseconds. */
    double latencySum;

    /** The number of seconds since the last report. */
    int reportSeconds;

    /**
     * Creates an instance.
     *
     * @param job the instance as the policy sees it
     * @param kind the position of its kind
     * @param zone the number of the zone whose callers it serves
     * @param reserved what is reserved for it
     */
    FakeService(PendingJob job, int kind, int zone, Resources reserved) {
        this.job = job;
        this.kind = kind;
        this.zone = zone;
        this.reserved = reserved;
    }

    /**
     * Returns the processors that the instance uses.
     *
     * @return thousandths of a processor
     */
    double used() {
        return load * job.size().milliProcessors();
    }

    /**
     * Returns the median latency of the last second.
     *
     * @return the latency, in milliseconds
     */
    double latencyMillis() {
        double queueing = 1 + QUEUEING * load * load / (1 - SATURATION * load);
        return IDLE_MILLIS * queueing * slowdown;
    }
}
