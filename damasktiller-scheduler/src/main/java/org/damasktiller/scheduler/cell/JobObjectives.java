package org.damasktiller.scheduler.cell;

import org.damasktiller.scheduler.estimate.RunTimeEstimator;
import org.damasktiller.scheduler.model.QueueTerms;
import org.damasktiller.scheduler.model.StepSpec;

/** Computes by when jobs have to be done, and how much time the work that is left takes. */
final class JobObjectives {

    /** The shared state of the cell's owner. */
    private final CellContext context;

    /** Estimates run times. */
    private final RunTimeEstimator runTimes;

    /**
     * Creates a calculator.
     *
     * @param context the shared state of the cell's owner
     * @param runTimes estimates run times
     */
    JobObjectives(CellContext context, RunTimeEstimator runTimes) {
        this.context = context;
        this.runTimes = runTimes;
    }

    /**
     * Returns the latency objective of a job.
     *
     * @param job the job
     * @return the time from the acceptance of the job, in milliseconds
     */
    long objectiveMillis(Job job) {
        QueueTerms terms = job.terms();
        return (long) (terms.extension() * estimateMillis(job)) + terms.targetLatencyMillis();
    }

    /**
     * Returns for how long a job has been accepted.
     *
     * @param job the job
     * @return the time, in milliseconds
     */
    long elapsedMillis(Job job) {
        return context.now() - job.acceptedAtMillis;
    }

    /**
     * Estimates how long the steps of a job take one after the other.
     *
     * @param job the job
     * @return the time, in milliseconds
     */
    long estimateMillis(Job job) {
        long totalMillis = 0;
        for (StepSpec spec : job.accepted.submission().steps()) {
            totalMillis += runTimes.expectedMillis(spec);
        }
        return totalMillis;
    }

    /**
     * Estimates how long the steps of an occurrence take from a given one on.
     *
     * @param step the first step to count
     * @return the time, in milliseconds
     */
    long remainingMillis(StepRecord step) {
        long totalMillis = 0;
        for (StepRecord later : step.occurrence.steps) {
            if (later.number >= step.number) {
                totalMillis += runTimes.expectedMillis(later.spec);
            }
        }
        return totalMillis;
    }
}
