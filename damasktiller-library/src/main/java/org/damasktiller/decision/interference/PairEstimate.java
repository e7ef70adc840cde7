package org.damasktiller.decision.interference;

/** Holds the estimated slowdown that one kind causes another at one level of load. */
final class PairEstimate {

    /** The slowdown assumed for a pair never seen, for a whole worker's load. */
    static final double PRIOR_MEAN = 0.25;

    /** The variance assumed for a pair never seen. */
    static final double PRIOR_VARIANCE = 0.25;

    /** By how much the variance grows in a second, so that old knowledge fades. */
    private static final double DRIFT_PER_SECOND = 2e-5;

    /** The milliseconds of a second. */
    private static final double SECOND_MILLIS = 1000;

    /** The estimated slowdown for a whole worker's load. */
    private double mean;

    /** The variance of the estimate. */
    private double variance = PRIOR_VARIANCE;

    /** When the estimate last changed, in milliseconds. */
    private long changedMillis;

    /**
     * Creates an estimate without observations.
     *
     * @param mean the slowdown assumed for a whole worker's load
     * @param nowMillis the time, in milliseconds
     */
    PairEstimate(double mean, long nowMillis) {
        this.mean = mean;
        changedMillis = nowMillis;
    }

    /**
     * Returns the estimate.
     *
     * @return the slowdown for a whole worker's load, not negative
     */
    double mean() {
        return mean;
    }

    /**
     * Returns the uncertainty of the estimate.
     *
     * @return the standard deviation
     */
    double deviation() {
        return Math.sqrt(variance);
    }

    /**
     * Adds the uncertainty of the time passed.
     *
     * @param nowMillis the time, in milliseconds
     * @return the variance
     */
    double age(long nowMillis) {
        double seconds = Math.max(0, nowMillis - changedMillis) / SECOND_MILLIS;
        variance = Math.min(PRIOR_VARIANCE, variance + seconds * DRIFT_PER_SECOND);
        changedMillis = Math.max(changedMillis, nowMillis);
        return variance;
    }

    /**
     * Moves the estimate by a part of the error of the prediction.
     *
     * @param gain the gain for this pair
     * @param load the load of the aggressor
     * @param error the measured minus the predicted slowdown
     */
    void correct(double gain, double load, double error) {
        mean = Math.max(0, mean + gain * error);
        variance = Math.max(0, variance * (1 - gain * load));
    }
}
