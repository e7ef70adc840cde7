package org.damasktiller.scheduler.estimate;

import java.util.HashMap;
import java.util.Map;
import org.damasktiller.scheduler.model.StepSpec;

/**
 * Estimates the run times of tasks from the declared ones, by a factor learned for each image.
 *
 * <p>Load pattern: the run times that callers declare are wrong by a large factor, which tasks of
 * one image share.
 */
public final class LearnedRunTimes implements RunTimeEstimator {

    /** The weight of a new observation. */
    private static final double OBSERVATION_WEIGHT = 0.2;

    /** The minimum factor; lower observations are clipped. */
    private static final double MIN_FACTOR = 0.1;

    /** The maximum factor; higher observations are clipped. */
    private static final double MAX_FACTOR = 10;

    /** The learned ratio of the real to the declared run time, by image. */
    private final Map<String, Double> factors = new HashMap<>();

    /** Creates an estimator without observations. */
    public LearnedRunTimes() {}

    @Override
    public void observe(StepSpec spec, long millis) {
        if (spec.estimateMillis() <= 0) {
            return;
        }
        double observed = (double) millis / spec.estimateMillis();
        double bounded = Math.max(MIN_FACTOR, Math.min(MAX_FACTOR, observed));
        factors.merge(spec.image(), bounded, (old, now) -> old + OBSERVATION_WEIGHT * (now - old));
    }

    @Override
    public long expectedMillis(StepSpec spec) {
        return (long) (spec.estimateMillis() * factors.getOrDefault(spec.image(), 1.0));
    }
}
