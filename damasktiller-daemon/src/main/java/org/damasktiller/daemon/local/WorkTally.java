package org.damasktiller.daemon.local;

import java.util.concurrent.atomic.AtomicLong;
import org.HdrHistogram.Histogram;

/** Counts what one kind of work got. Changed by one thread; the counts may be read by others. */
final class WorkTally {

    /** The significant digits of the latencies. */
    private static final int SIGNIFICANT_DIGITS = 3;

    /** The median, in percent. */
    private static final double MEDIAN = 50;

    /** The 99th percentile, in percent. */
    private static final double TAIL = 99;

    /** The latencies, in milliseconds. */
    private final Histogram latencies = new Histogram(SIGNIFICANT_DIGITS);

    /** The items started. */
    private final AtomicLong started = new AtomicLong();

    /** The items finished. */
    private final AtomicLong finished = new AtomicLong();

    /** The items evicted. */
    private final AtomicLong evicted = new AtomicLong();

    /** The items refused. */
    private final AtomicLong refused = new AtomicLong();

    /** The items that are not accounted for exactly once. */
    private final AtomicLong unaccounted = new AtomicLong();

    /** Creates an empty tally. */
    WorkTally() {}

    /** Counts an item as started. */
    void countStarted() {
        started.incrementAndGet();
    }

    /**
     * Counts an item as finished.
     *
     * @param millis how long it took, in milliseconds
     */
    void countFinished(long millis) {
        finished.incrementAndGet();
        latencies.recordValue(millis);
    }

    /**
     * Counts evictions.
     *
     * @param count the number of evictions
     */
    void countEvicted(long count) {
        evicted.addAndGet(count);
    }

    /** Counts an item as refused. */
    void countRefused() {
        refused.incrementAndGet();
    }

    /** Counts an item as not accounted for exactly once. */
    void countUnaccounted() {
        unaccounted.incrementAndGet();
    }

    /**
     * Returns the number of items finished.
     *
     * @return the number
     */
    long finished() {
        return finished.get();
    }

    /**
     * Returns the number of items that are not accounted for exactly once.
     *
     * @return the number
     */
    long unaccounted() {
        return unaccounted.get();
    }

    /**
     * Writes one line.
     *
     * @param kind the kind of work
     * @return the line
     */
    String line(String kind) {
        return String.format(
                "%-20s %8d %8d %8d %8d %8d %8d %8d",
                kind,
                started.get(),
                finished.get(),
                evicted.get(),
                refused.get(),
                unaccounted.get(),
                latencies.getValueAtPercentile(MEDIAN),
                latencies.getValueAtPercentile(TAIL));
    }

    /**
     * Writes the heads of the columns.
     *
     * @return the line
     */
    static String header() {
        return "KIND                  STARTED FINISHED  EVICTED  REFUSED  UNACCTD   P50 MS   P99"
                + " MS";
    }
}
