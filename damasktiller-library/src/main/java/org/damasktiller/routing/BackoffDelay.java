package org.damasktiller.routing;

import java.util.random.RandomGenerator;

/** Computes exponential delays with jitter. */
public final class BackoffDelay {

    /** The largest exponent, which keeps the shift within a long. */
    private static final int LARGEST_EXPONENT = 20;

    /** The bound of the first delay, in milliseconds. */
    private final long baseMillis;

    /** The bound of all delays, in milliseconds. */
    private final long maximumMillis;

    /** The source of the jitter. */
    private final RandomGenerator random;

    /**
     * Creates a computation.
     *
     * @param baseMillis the bound of the first delay, in milliseconds, above zero
     * @param maximumMillis the bound of all delays, in milliseconds
     * @param random the source of the jitter
     */
    public BackoffDelay(long baseMillis, long maximumMillis, RandomGenerator random) {
        this.baseMillis = baseMillis;
        this.maximumMillis = maximumMillis;
        this.random = random;
    }

    /**
     * Draws the delay before a further try, uniform up to a bound that doubles with each try.
     *
     * @param triesMade how many tries were made, at least one
     * @return the delay, in milliseconds, at least one
     */
    public long next(int triesMade) {
        int exponent = Math.min(LARGEST_EXPONENT, Math.max(0, triesMade - 1));
        long bound = Math.min(maximumMillis, baseMillis << exponent);
        return 1 + random.nextLong(Math.max(1, bound));
    }
}
