package org.damasktiller.decision.estimate;

/**
 * Counts values in buckets that grow by a constant factor; the weight of a value halves with each
 * half-life, so that quantiles follow changes.
 */
public final class DecayingHistogram {

    /** The factor from one bucket to the next. */
    private static final double GROWTH = 1.05;

    /** The number of buckets, enough for values up to 10^10. */
    private static final int BUCKETS = 480;

    /** The error of rounding that is taken off before a value is put into a bucket. */
    private static final double ROUNDING = 1e-9;

    /** The exponent of two at which all weights are scaled down. */
    private static final double LARGEST_EXPONENT = 100;

    /** The half-life of a weight, in milliseconds. */
    private final double halfLifeMillis;

    /** The weights, relative to the reference time. */
    private final double[] weights = new double[BUCKETS];

    /** The sum of the weights. */
    private double total;

    /** The time at which a new value has weight one, in milliseconds. */
    private long referenceMillis;

    /**
     * Creates an empty histogram.
     *
     * @param halfLifeMillis the half-life of a weight, in milliseconds
     */
    public DecayingHistogram(long halfLifeMillis) {
        this.halfLifeMillis = halfLifeMillis;
    }

    /**
     * Adds a value.
     *
     * @param value the value, not negative
     * @param weight its weight
     * @param nowMillis the time, in milliseconds
     */
    public void add(double value, double weight, long nowMillis) {
        double exponent = (nowMillis - referenceMillis) / halfLifeMillis;
        if (exponent > LARGEST_EXPONENT) {
            rescale(nowMillis, exponent);
            exponent = 0;
        }
        double scaled = weight * Math.pow(2, exponent);
        weights[bucketOf(value)] += scaled;
        total += scaled;
    }

    /**
     * Returns how many values of full weight the histogram holds.
     *
     * @param nowMillis the time, in milliseconds
     * @return the decayed number of values
     */
    public double count(long nowMillis) {
        return total * Math.pow(2, -(nowMillis - referenceMillis) / halfLifeMillis);
    }

    /**
     * Returns the upper bound of the bucket in which a quantile lies.
     *
     * @param quantile the quantile, from 0 to 1
     * @return the value, zero if the histogram is empty
     */
    public double quantile(double quantile) {
        double wanted = quantile * total;
        double seen = 0;
        int last = 0;
        for (int bucket = 0; bucket < BUCKETS; bucket++) {
            if (weights[bucket] == 0) {
                continue;
            }
            seen += weights[bucket];
            last = bucket;
            if (seen >= wanted) {
                break;
            }
        }
        return total == 0 ? 0 : Math.pow(GROWTH, last) - 1;
    }

    /**
     * Returns an upper confidence bound of a quantile by the normal approximation of the rank.
     *
     * @param quantile the quantile, from 0 to 1
     * @param deviations the number of standard deviations
     * @param nowMillis the time, in milliseconds
     * @return the value, zero if the histogram is empty
     */
    public double upperQuantile(double quantile, double deviations, long nowMillis) {
        double count = Math.max(1, count(nowMillis));
        double error = Math.sqrt(quantile * (1 - quantile) / count);
        return quantile(Math.min(1, quantile + deviations * error));
    }

    /**
     * Moves the reference time.
     *
     * @param nowMillis the new reference, in milliseconds
     * @param exponent how many half-lives later it is
     */
    private void rescale(long nowMillis, double exponent) {
        double factor = Math.pow(2, -exponent);
        total = 0;
        for (int bucket = 0; bucket < BUCKETS; bucket++) {
            weights[bucket] *= factor;
            total += weights[bucket];
        }
        referenceMillis = nowMillis;
    }

    /**
     * Returns the bucket of a value.
     *
     * @param value the value
     * @return the bucket
     */
    private static int bucketOf(double value) {
        double index = Math.ceil(Math.log1p(Math.max(0, value)) / Math.log(GROWTH) - ROUNDING);
        return (int) Math.min(BUCKETS - 1, index);
    }
}
