package org.damasktiller.routing;

/** Keeps an exponentially weighted moving average of latency. */
public final class LatencyAverage {

    /** The weight of a new sample. */
    private static final double SAMPLE_WEIGHT = 0.15;

    /** How many times the average a single sample counts for at most. */
    private static final double SAMPLE_CLIP = 4;

    /** The least level at which samples are clipped, in milliseconds. */
    private static final double CLIP_FLOOR_MILLIS = 5;

    /** The average, in milliseconds. */
    private double averageMillis;

    /** The number of samples. */
    private int samples;

    /** Creates an average without samples. */
    public LatencyAverage() {}

    /**
     * Adds a sample, clipped so that a single slow one does not make an outlier.
     *
     * @param latencyMillis the sample, in milliseconds
     */
    public void add(double latencyMillis) {
        samples++;
        if (samples == 1) {
            averageMillis = latencyMillis;
            return;
        }
        double clip = Math.max(CLIP_FLOOR_MILLIS, SAMPLE_CLIP * averageMillis);
        averageMillis += (Math.min(clip, latencyMillis) - averageMillis) * SAMPLE_WEIGHT;
    }

    /**
     * Returns the average.
     *
     * @return the average, in milliseconds, zero without samples
     */
    public double millis() {
        return averageMillis;
    }

    /**
     * Returns the number of samples.
     *
     * @return the number
     */
    public int samples() {
        return samples;
    }

    /** Forgets all samples. */
    public void reset() {
        samples = 0;
        averageMillis = 0;
    }
}
