package org.damasktiller.scheduler.estimate;

import org.damasktiller.scheduler.model.StepSpec;

/** Takes run times as they are declared. */
public final class DeclaredRunTimes implements RunTimeEstimator {

    /** Creates an estimator. */
    public DeclaredRunTimes() {}

    @Override
    public void observe(StepSpec spec, long millis) {
        // Declared run times do not depend on observations.
    }

    @Override
    public long expectedMillis(StepSpec spec) {
        return spec.estimateMillis();
    }
}
