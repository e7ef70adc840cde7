package org.damasktiller.scheduler.cell;

import org.damasktiller.scheduler.model.QueueTerms;

/** Computes by when jobs have to be done. */
final class JobObjectives {

    /** The shared state of the cell's owner. */
    private final CellContext context;

    /**
     * Creates a calculator.
     *
     * @param context the shared state of the cell's owner
     */
    JobObjectives(CellContext context) {
        this.context = context;
    }

    /**
     * Returns the latency objective of a job.
     *
     * @param job the job
     * @param estimateMillis how long its steps take one after the other, in milliseconds
     * @return the time from the acceptance of the job, in milliseconds
     */
    long objectiveMillis(Job job, long estimateMillis) {
        QueueTerms terms = job.terms();
        return (long) (terms.extension() * estimateMillis) + terms.targetLatencyMillis();
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
}
