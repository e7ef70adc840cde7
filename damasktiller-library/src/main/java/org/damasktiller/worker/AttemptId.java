package org.damasktiller.worker;

import org.damasktiller.identity.JobId;

/**
 * Identifies one attempt to run a job. A worker starts an attempt at most once.
 *
 * @param job the job
 * @param number the number of the attempt, 1 for the first
 */
public record AttemptId(JobId job, int number) {

    /** Checks that the number is above zero. */
    public AttemptId {
        if (number < 1) {
            throw new IllegalArgumentException("the number of an attempt must be above zero");
        }
    }
}
