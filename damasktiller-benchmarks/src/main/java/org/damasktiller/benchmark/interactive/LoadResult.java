package org.damasktiller.benchmark.interactive;

import java.util.HashSet;
import java.util.Set;
import org.HdrHistogram.Histogram;

/** Collects the results of a load. Used by the thread of the load, and read after its end. */
final class LoadResult {

    /** The longest latency told apart, in microseconds. */
    private static final long LONGEST_MICROS = 60_000_000;

    /** The number of significant digits of latency. */
    private static final int DIGITS = 3;

    /** The number of microseconds in a millisecond. */
    private static final double MICROS_PER_MILLI = 1000;

    /** The latency of all requests, refused and failed ones included, in microseconds. */
    final Histogram latency = new Histogram(LONGEST_MICROS, DIGITS);

    /** The keys of the requests that the gateway said were not run. */
    final Set<String> notRun = new HashSet<>();

    /** The number of requests begun. */
    long begun;

    /** The number of whole answers. */
    long answered;

    /** The number of whole answers that came while requests were still begun. */
    long answeredDuringLoad;

    /** The number of refusals and failures that were told. */
    long refused;

    /** The number of answers that were not the caller's own or not whole. */
    long crossed;

    /** The number of requests that ended without any answer. */
    long failed;

    /** Whether no further requests are begun. */
    boolean over;

    /** How long the load took, in milliseconds. */
    long tookMillis;

    /** Creates an empty result. */
    LoadResult() {}

    /**
     * Notes the latency of a request.
     *
     * @param nanos the latency, in nanoseconds
     */
    void record(long nanos) {
        latency.recordValue(Math.min(LONGEST_MICROS, nanos / (long) MICROS_PER_MILLI));
    }

    /**
     * Returns a percentile of latency.
     *
     * @param percentile the percentile, 0 to 100
     * @return the latency, in milliseconds
     */
    double millis(double percentile) {
        return latency.getValueAtPercentile(percentile) / MICROS_PER_MILLI;
    }
}
