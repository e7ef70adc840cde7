package org.damasktiller.scheduler.cell;

import org.damasktiller.scheduler.estimate.RunTimeEstimator;

/**
 * How much work and time the steps of an occurrence take from each of them on, as of one moment.
 * All sums come from one walk over the steps.
 */
final class RemainingWork {

    /** The work from each step on, in millicores times milliseconds. */
    private final double[] work;

    /** The time from each step on if the steps run one after the other, in milliseconds. */
    private final long[] millis;

    /**
     * Estimates the steps of an occurrence.
     *
     * @param occurrence the occurrence
     * @param runTimes estimates run times
     */
    RemainingWork(OccurrenceRecord occurrence, RunTimeEstimator runTimes) {
        int count = occurrence.steps.size();
        work = new double[count];
        millis = new long[count];
        double workSum = 0;
        long millisSum = 0;
        for (int number = count - 1; number >= 0; number--) {
            StepRecord step = occurrence.steps.get(number);
            long expectedMillis = runTimes.expectedMillis(step.spec);
            double cpu = step.spec.need().cpuMillicores();
            workSum += (step.count() - step.doneCount) * cpu * expectedMillis;
            millisSum += expectedMillis;
            work[number] = workSum;
            millis[number] = millisSum;
        }
    }

    /**
     * Returns the work of the tasks that are not done.
     *
     * @param step the first step to count
     * @return the work, in millicores times milliseconds
     */
    double work(StepRecord step) {
        return work[step.number];
    }

    /**
     * Returns the time that the steps take one after the other, whether done or not.
     *
     * @param step the first step to count
     * @return the time, in milliseconds
     */
    long millis(StepRecord step) {
        return millis[step.number];
    }

    /**
     * Returns the time that all steps take one after the other.
     *
     * @return the time, in milliseconds
     */
    long totalMillis() {
        return millis.length == 0 ? 0 : millis[0];
    }
}
