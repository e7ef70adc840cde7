package org.damasktiller.decision.estimate;

import java.util.HashMap;
import java.util.Map;
import org.damasktiller.identity.KindName;

/** Estimates the run time of a kind from the run times of its finished jobs. */
public final class RunTimeEstimator {

    /** The weight of run times from which on the declared one no longer counts. */
    private static final double ENOUGH_RUNS = 3;

    /** The run time assumed if none is declared or known, in milliseconds. */
    private static final long UNKNOWN_MILLIS = 60_000;

    /** The half-life of a run time: one day. */
    private static final long HALF_LIFE_MILLIS = 86_400_000;

    /** The middle quantile. */
    private static final double MEDIAN = 0.5;

    /** The run times of each kind. */
    private final Map<KindName, DecayingHistogram> kinds = new HashMap<>();

    /** Creates an estimator without run times. */
    public RunTimeEstimator() {}

    /**
     * Records the run time of a finished job.
     *
     * @param kind its kind
     * @param runMillis the run time, in milliseconds
     * @param nowMillis the time, in milliseconds
     */
    public void observe(KindName kind, long runMillis, long nowMillis) {
        kinds.computeIfAbsent(kind, key -> new DecayingHistogram(HALF_LIFE_MILLIS))
                .add((double) runMillis, 1, nowMillis);
    }

    /**
     * Returns the run time to expect.
     *
     * @param kind the kind
     * @param declaredMillis the declared run time, in milliseconds, zero if not declared
     * @param nowMillis the time, in milliseconds
     * @return the median of those seen, or else the declared one, in milliseconds
     */
    public long expectedMillis(KindName kind, long declaredMillis, long nowMillis) {
        DecayingHistogram histogram = kinds.get(kind);
        if (histogram != null && histogram.count(nowMillis) >= ENOUGH_RUNS) {
            return Math.max(1, Math.round(histogram.quantile(MEDIAN)));
        }
        return declaredMillis == 0 ? UNKNOWN_MILLIS : declaredMillis;
    }

    /**
     * Returns a run time that a part of the jobs does not exceed, with its uncertainty.
     *
     * @param kind the kind
     * @param quantile the part, from 0 to 1
     * @param declaredMillis the declared run time, in milliseconds, zero if not declared
     * @param nowMillis the time, in milliseconds
     * @return the upper confidence bound, or else the declared run time, in milliseconds
     */
    public long upperMillis(KindName kind, double quantile, long declaredMillis, long nowMillis) {
        DecayingHistogram histogram = kinds.get(kind);
        if (histogram != null && histogram.count(nowMillis) >= ENOUGH_RUNS) {
            return Math.max(1, Math.round(histogram.upperQuantile(quantile, 1, nowMillis)));
        }
        return declaredMillis == 0 ? UNKNOWN_MILLIS : declaredMillis;
    }
}
