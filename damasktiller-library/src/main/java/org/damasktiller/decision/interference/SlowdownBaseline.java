package org.damasktiller.decision.interference;

import java.util.Arrays;
import java.util.HashMap;
import java.util.Map;

/**
 * Learns the latency of a service that shares its worker with nothing harmful, for each level of
 * its own load, as a low quantile of the latencies measured.
 */
public final class SlowdownBaseline {

    /** The number of levels of the service's own load. */
    private static final int LEVELS = 20;

    /** The step by which a baseline falls when a lower latency is measured. */
    private static final double FALL = 0.05;

    /** The step by which a baseline rises when a higher latency is measured. */
    private static final double RISE = 0.0125;

    /** The baselines of each kind, in milliseconds, zero where unknown. */
    private final Map<Integer, double[]> kinds = new HashMap<>();

    /** Creates a record without measurements. */
    public SlowdownBaseline() {}

    /**
     * Records a latency and compares it with the baseline.
     *
     * @param kind the number of the kind
     * @param ownLoad the part of its own capacity that the service uses
     * @param latencyMillis the latency, in milliseconds
     * @return the latency divided by the baseline
     */
    public double slowdown(int kind, double ownLoad, double latencyMillis) {
        double[] levels = kinds.computeIfAbsent(kind, key -> emptyLevels());
        int level = (int) Math.min(LEVELS - 1, Math.max(0, ownLoad * LEVELS));
        double known = levels[level];
        if (known == 0) {
            levels[level] = latencyMillis;
            return 1;
        }
        levels[level] = known * (latencyMillis < known ? 1 - FALL : 1 + RISE);
        return latencyMillis / known;
    }

    /**
     * Creates the levels of a kind without measurements.
     *
     * @return the levels
     */
    private static double[] emptyLevels() {
        double[] levels = new double[LEVELS];
        Arrays.fill(levels, 0);
        return levels;
    }
}
