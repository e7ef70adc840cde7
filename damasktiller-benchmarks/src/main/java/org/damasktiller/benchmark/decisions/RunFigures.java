package org.damasktiller.benchmark.decisions;

import org.HdrHistogram.Histogram;

/** Gathers the figures of one run, or of several runs added together. */
final class RunFigures {

    /** The largest latency and wait that is recorded, in microseconds. */
    private static final long LARGEST_MICROS = 100_000_000_000L;

    /** The significant digits of recorded values. */
    private static final int DIGITS = 3;

    /** The microseconds of a millisecond. */
    private static final double MILLI = 1000;

    /** The latencies of services, in microseconds. */
    final Histogram latencies = new Histogram(LARGEST_MICROS, DIGITS);

    /** The waits of urgent jobs, in microseconds. */
    final Histogram urgentWaits = new Histogram(LARGEST_MICROS, DIGITS);

    /** The seconds in which an instance of a service was slowed down by more than a fifth. */
    long slowSeconds;

    /** The seconds of all instances of services. */
    long serviceSeconds;

    /** The processor seconds of real progress by batch and urgent tasks that was not lost. */
    double work;

    /** The processor seconds of progress lost by evictions and failures. */
    double lostWork;

    /** The number of evictions. */
    long evictions;

    /** The number of starts. */
    long starts;

    /** The number of starts on a failing worker. */
    long startsOnFailing;

    /** The number of starts on that worker after it was repaired. */
    long startsOnRepaired;

    /** The number of finished jobs. */
    long finished;

    /** The jobs given up as impossible before any start. */
    long refused;

    /** The jobs given up as poisoned. */
    long poisoned;

    /** Impossible or poisoned jobs that arrived. */
    long hopeless;

    /** The longest wait of a batch job for its first start, in seconds. */
    double longestWaitSeconds;

    /** The seconds in which a worker had more reserved than it has. */
    long overcommits;

    /** The sum of the parts of the processors used, over workers and seconds. */
    double utilisation;

    /** The number of terms of that sum. */
    long utilisationCount;

    /** The largest relative difference of a kind's share from its weight, from 0. */
    double shareError;

    /** Creates empty figures. */
    RunFigures() {}

    /**
     * Adds the figures of another run.
     *
     * @param other the other run
     */
    void add(RunFigures other) {
        latencies.add(other.latencies);
        urgentWaits.add(other.urgentWaits);
        slowSeconds += other.slowSeconds;
        serviceSeconds += other.serviceSeconds;
        work += other.work;
        lostWork += other.lostWork;
        evictions += other.evictions;
        starts += other.starts;
        startsOnFailing += other.startsOnFailing;
        startsOnRepaired += other.startsOnRepaired;
        finished += other.finished;
        refused += other.refused;
        poisoned += other.poisoned;
        hopeless += other.hopeless;
        longestWaitSeconds = Math.max(longestWaitSeconds, other.longestWaitSeconds);
        overcommits += other.overcommits;
        utilisation += other.utilisation;
        utilisationCount += other.utilisationCount;
        shareError = Math.max(shareError, other.shareError);
    }

    /**
     * Returns a percentile of the latencies of services.
     *
     * @param percentile the percentile, from 0 to 100
     * @return the latency, in milliseconds
     */
    double latencyMillis(double percentile) {
        return latencies.getValueAtPercentile(percentile) / MILLI;
    }

    /**
     * Returns the mean part of the processors used.
     *
     * @return the part, from 0 to 1
     */
    double meanUtilisation() {
        return utilisationCount == 0 ? 0 : utilisation / utilisationCount;
    }

    /**
     * Returns the part of the time in which services were slowed down by more than a fifth.
     *
     * @return the part, from 0 to 1
     */
    double slowPart() {
        return serviceSeconds == 0 ? 0 : (double) slowSeconds / serviceSeconds;
    }
}
