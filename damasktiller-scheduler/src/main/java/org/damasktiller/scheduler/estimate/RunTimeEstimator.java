package org.damasktiller.scheduler.estimate;

import org.damasktiller.scheduler.model.StepSpec;

/** Estimates the run times of tasks. */
public interface RunTimeEstimator {

    /**
     * Learns from a run that has completed its task.
     *
     * @param spec the step of the task
     * @param millis the run time, in milliseconds
     */
    void observe(StepSpec spec, long millis);

    /**
     * Returns the expected run time of a task.
     *
     * @param spec the step of the task
     * @return the run time, in milliseconds, or 0 if none is declared
     */
    long expectedMillis(StepSpec spec);
}
