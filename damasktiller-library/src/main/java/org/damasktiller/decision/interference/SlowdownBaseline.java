package org.damasktiller.decision.interference;

import java.util.HashMap;
import java.util.Map;

/**
 * Learns the latency that a service would have if nothing slowed it down, for each level of its own
 * load: the measured latency divided by the predicted slowdown, smoothed over many measurements.
 */
public final class SlowdownBaseline {

    /** The number of levels of the service's own load. */
    private static final int LEVELS = 20;

    /** The weight of the latest measurement once a level is known. */
    private static final double LATEST_WEIGHT = 0.01;

    /** The number of measurements from which on a level counts as known. */
    private static final double KNOWN_MEASUREMENTS = 1 / LATEST_WEIGHT;

    /** The number of measurements from which on a latency is judged by the baseline. */
    private static final double LEAST_MEASUREMENTS = 5;

    /** The baselines of each kind. */
    private final Map<Integer, Levels> kinds = new HashMap<>();

    /** Creates a record without measurements. */
    public SlowdownBaseline() {}

    /**
     * Records a latency and compares it with the baseline.
     *
     * @param kind the number of the kind
     * @param ownLoad the part of its own capacity that the service uses
     * @param latencyMillis the latency, in milliseconds
     * @param predicted the predicted slowdown during the measurement, at least 1
     * @return the latency divided by the baseline before the measurement
     */
    public double slowdown(int kind, double ownLoad, double latencyMillis, double predicted) {
        Levels levels = kinds.computeIfAbsent(kind, key -> new Levels());
        int level = levelOf(ownLoad);
        double alone = latencyMillis / predicted;
        double before = levels.counts[level] == 0 ? alone : levels.latencies[level];
        levels.counts[level] = Math.min(KNOWN_MEASUREMENTS, levels.counts[level] + 1);
        levels.latencies[level] = before + (alone - before) / levels.counts[level];
        return latencyMillis / before;
    }

    /**
     * Tells whether enough was measured at a level of load to judge a latency by it.
     *
     * @param kind the number of the kind
     * @param ownLoad the part of its own capacity that the service uses
     * @return whether the baseline is known
     */
    public boolean known(int kind, double ownLoad) {
        Levels levels = kinds.get(kind);
        return levels != null && levels.counts[levelOf(ownLoad)] >= LEAST_MEASUREMENTS;
    }

    /**
     * Returns the level of a load.
     *
     * @param ownLoad the part of its own capacity that the service uses
     * @return the level
     */
    private static int levelOf(double ownLoad) {
        return (int) Math.min(LEVELS - 1, Math.max(0, ownLoad * LEVELS));
    }

    /** Holds the baselines of one kind by the level of its own load. */
    private static final class Levels {

        /** The latencies, in milliseconds. */
        private final double[] latencies = new double[LEVELS];

        /** The number of measurements, up to the number at which a level is known. */
        private final double[] counts = new double[LEVELS];

        /** Creates baselines without measurements. */
        private Levels() {}
    }
}
