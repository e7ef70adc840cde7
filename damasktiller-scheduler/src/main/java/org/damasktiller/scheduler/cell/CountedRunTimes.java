package org.damasktiller.scheduler.cell;

import org.damasktiller.scheduler.estimate.RunTimeEstimator;
import org.damasktiller.scheduler.model.StepSpec;

/** Counts the estimates of another estimator. */
final class CountedRunTimes implements RunTimeEstimator {

    /** The other estimator. */
    private final RunTimeEstimator estimator;

    /** Counts the estimates. */
    private final WorkCounters counters;

    /**
     * Creates an estimator.
     *
     * @param estimator the other estimator
     * @param counters counts the estimates
     */
    CountedRunTimes(RunTimeEstimator estimator, WorkCounters counters) {
        this.estimator = estimator;
        this.counters = counters;
    }

    @Override
    public void observe(StepSpec spec, long millis) {
        estimator.observe(spec, millis);
    }

    @Override
    public long expectedMillis(StepSpec spec) {
        counters.onEstimate();
        return estimator.expectedMillis(spec);
    }
}
