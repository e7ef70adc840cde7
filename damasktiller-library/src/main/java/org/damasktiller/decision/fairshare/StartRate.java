package org.damasktiller.decision.fairshare;

/** Limits the starts a second of one kind by a token bucket that holds one second's starts. */
final class StartRate {

    /** The milliseconds of a second. */
    private static final double SECOND_MILLIS = 1000;

    /** The starts that may be made at once. */
    private double tokens;

    /** When the tokens were counted, in milliseconds. */
    private long countedMillis;

    /**
     * Creates a full bucket.
     *
     * @param ratePerSecond the starts a second
     * @param nowMillis the time, in milliseconds
     */
    StartRate(int ratePerSecond, long nowMillis) {
        tokens = ratePerSecond;
        countedMillis = nowMillis;
    }

    /**
     * Tells whether a start is allowed now.
     *
     * @param ratePerSecond the starts a second, zero for no limit
     * @param nowMillis the time, in milliseconds
     * @return whether it is allowed
     */
    boolean allows(int ratePerSecond, long nowMillis) {
        if (ratePerSecond == 0) {
            return true;
        }
        double added = Math.max(0, nowMillis - countedMillis) * ratePerSecond / SECOND_MILLIS;
        tokens = Math.min(ratePerSecond, tokens + added);
        countedMillis = Math.max(countedMillis, nowMillis);
        return tokens >= 1;
    }

    /** Takes one start. */
    void take() {
        tokens = Math.max(0, tokens - 1);
    }
}
