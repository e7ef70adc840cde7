package org.damasktiller.routing;

/**
 * Adapts how many requests an endpoint gets at once: additive increase while latency stays near its
 * lowest level, multiplicative decrease when it rises or a request fails.
 */
public final class ConcurrencyLimit {

    /** The lowest limit. */
    private static final double MINIMUM = 1;

    /** By what a limit is multiplied on a decrease. */
    private static final double DECREASE = 0.9;

    /** How many times the baseline latency may reach before the limit falls. */
    private static final double TOLERANCE = 3;

    /** The part by which the baseline moves up to a higher sample. */
    private static final double BASELINE_RISE = 0.01;

    /** The latency below which no decrease is made, in milliseconds. */
    private static final double FLOOR_MILLIS = 5;

    /** The limit now. */
    private double limit;

    /** The lowest latency seen lately, in milliseconds, negative if none. */
    private double baselineMillis = -1;

    /** How many further answers are ignored after a decrease. */
    private int holdOff;

    /**
     * Creates a limit.
     *
     * @param initial the first limit, at least one
     */
    public ConcurrencyLimit(double initial) {
        this.limit = Math.max(MINIMUM, initial);
    }

    /**
     * Notes an answer.
     *
     * @param latencyMillis how long it took, in milliseconds
     * @param maximum the largest limit allowed
     */
    public void succeeded(long latencyMillis, int maximum) {
        updateBaseline(latencyMillis);
        if (latencyMillis > Math.max(FLOOR_MILLIS, TOLERANCE * baselineMillis)) {
            decrease();
            return;
        }
        holdOff = Math.max(0, holdOff - 1);
        limit = Math.max(MINIMUM, Math.min(maximum, limit + 1 / limit));
    }

    /** Notes a failure or a timeout. */
    public void failed() {
        decrease();
    }

    /**
     * Returns how many requests may be outstanding.
     *
     * @return the limit, at least one
     */
    public int current() {
        return (int) limit;
    }

    /** Lowers the limit at most once for each round of outstanding requests. */
    private void decrease() {
        if (holdOff > 0) {
            holdOff--;
            return;
        }
        holdOff = (int) limit;
        limit = Math.max(MINIMUM, limit * DECREASE);
    }

    /**
     * Moves the baseline down at once and up slowly.
     *
     * @param latencyMillis the sample, in milliseconds
     */
    private void updateBaseline(long latencyMillis) {
        if (baselineMillis < 0 || latencyMillis < baselineMillis) {
            baselineMillis = latencyMillis;
            return;
        }
        baselineMillis += (latencyMillis - baselineMillis) * BASELINE_RISE;
    }
}
