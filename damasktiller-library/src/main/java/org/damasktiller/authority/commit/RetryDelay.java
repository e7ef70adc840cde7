package org.damasktiller.authority.commit;

/** Spaces the calls after failures by a delay that doubles up to a limit. */
public final class RetryDelay {

    /** The first delay, in milliseconds. */
    private final long firstMillis;

    /** The longest delay, in milliseconds. */
    private final long maximumMillis;

    /** The next delay, in milliseconds. */
    private long nextDelayMillis;

    /** When the next call is due, in milliseconds. */
    private long dueMillis = Long.MIN_VALUE;

    /** The number of failures since the latest success. */
    private int failures;

    /**
     * Creates a delay without a failure.
     *
     * @param firstMillis the first delay, in milliseconds
     * @param maximumMillis the longest delay, in milliseconds
     */
    public RetryDelay(long firstMillis, long maximumMillis) {
        this.firstMillis = firstMillis;
        this.maximumMillis = maximumMillis;
        this.nextDelayMillis = firstMillis;
    }

    /**
     * Tells whether the next call is due.
     *
     * @param nowMillis the time, in milliseconds
     * @return whether a call may be sent
     */
    public boolean due(long nowMillis) {
        return nowMillis >= dueMillis;
    }

    /**
     * Tells whether the latest call failed.
     *
     * @return whether it failed
     */
    public boolean failing() {
        return failures > 0;
    }

    /** Ends the delay after a success. */
    public void succeeded() {
        failures = 0;
        nextDelayMillis = firstMillis;
        dueMillis = Long.MIN_VALUE;
    }

    /**
     * Delays the next call after a failure.
     *
     * @param nowMillis the time, in milliseconds
     */
    public void failed(long nowMillis) {
        failures++;
        dueMillis = nowMillis + nextDelayMillis;
        nextDelayMillis = Math.min(maximumMillis, 2 * nextDelayMillis);
    }
}
