package org.damasktiller.authority.commit;

/**
 * Spaces writes so that they keep within a budget. After a quiet time a write is due at once; the
 * interval grows to its full length as the saved budget is used up.
 */
final class CommitPace {

    /** Milliseconds in a second. */
    private static final double MILLIS_PER_SECOND = 1000;

    /** The writes a second. */
    private final double writesPerSecond;

    /** The largest saved budget, in writes. */
    private final double burstWrites;

    /** The saved budget, in writes. */
    private double saved;

    /** When the saved budget was computed, in milliseconds. */
    private long computedAtMillis = Long.MIN_VALUE;

    /** When the latest write began, in milliseconds. */
    private long lastWriteMillis = Long.MIN_VALUE;

    /**
     * Creates a pace with a full budget.
     *
     * @param writesPerSecond the writes a second
     * @param burstWrites the largest saved budget, in writes
     */
    CommitPace(double writesPerSecond, int burstWrites) {
        this.writesPerSecond = writesPerSecond;
        this.burstWrites = burstWrites;
        this.saved = burstWrites;
    }

    /**
     * Tells whether a write is due.
     *
     * @param nowMillis the time, in milliseconds
     * @return whether a write may begin
     */
    boolean due(long nowMillis) {
        refill(nowMillis);
        if (lastWriteMillis == Long.MIN_VALUE) {
            return true;
        }
        double interval = MILLIS_PER_SECOND / writesPerSecond * (1 - saved / burstWrites);
        return saved >= 1 && nowMillis - lastWriteMillis >= interval;
    }

    /**
     * Takes one write from the budget. The saved budget may fall below zero by the writes that a
     * group cannot do without.
     *
     * @param nowMillis the time, in milliseconds
     */
    void wrote(long nowMillis) {
        refill(nowMillis);
        saved -= 1;
        lastWriteMillis = nowMillis;
    }

    /**
     * Adds the budget of the time that passed.
     *
     * @param nowMillis the time, in milliseconds
     */
    private void refill(long nowMillis) {
        if (computedAtMillis != Long.MIN_VALUE && nowMillis > computedAtMillis) {
            double seconds = (nowMillis - computedAtMillis) / MILLIS_PER_SECOND;
            saved = Math.min(burstWrites, saved + seconds * writesPerSecond);
        }
        computedAtMillis = Math.max(computedAtMillis, nowMillis);
    }
}
