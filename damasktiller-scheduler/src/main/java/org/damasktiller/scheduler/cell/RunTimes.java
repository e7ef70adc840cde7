package org.damasktiller.scheduler.cell;

import java.util.HashMap;
import java.util.Map;
import org.damasktiller.scheduler.model.StepSpec;

/**
 * Learns how declared durations relate to real ones. Load pattern: the durations that callers
 * declare are far off, by a factor that tasks of one image share.
 */
final class RunTimes {

    /** The weight of a new observation. */
    private static final double WEIGHT = 0.2;

    /** The least factor that is believed. */
    private static final double LEAST_FACTOR = 0.1;

    /** The largest factor that is believed. */
    private static final double LARGEST_FACTOR = 10;

    /** The learned factor of each image. */
    private final Map<String, Double> factors = new HashMap<>();

    /** Creates a record without observations. */
    RunTimes() {}

    /**
     * Learns from a run that was done.
     *
     * @param spec the step
     * @param millis how long the run took, in milliseconds
     */
    void observe(StepSpec spec, long millis) {
        if (spec.estimateMillis() <= 0) {
            return;
        }
        double seen = (double) millis / spec.estimateMillis();
        double bounded = Math.max(LEAST_FACTOR, Math.min(LARGEST_FACTOR, seen));
        factors.merge(spec.image(), bounded, (old, now) -> old + WEIGHT * (now - old));
    }

    /**
     * Returns the expected duration of a task.
     *
     * @param spec the step
     * @return the duration, in milliseconds
     */
    long expectedMillis(StepSpec spec) {
        return (long) (spec.estimateMillis() * factors.getOrDefault(spec.image(), 1.0));
    }
}
