package org.damasktiller.daemon.job;

import org.damasktiller.authority.cell.JobState;
import org.damasktiller.authority.cell.JobStatus;
import org.damasktiller.error.Outcome;
import org.damasktiller.identity.JobId;
import org.damasktiller.identity.RequestKey;
import org.damasktiller.identity.WorkerId;
import org.jspecify.annotations.Nullable;

/**
 * Holds the JSON body that tells the state of a job.
 *
 * @param job the job
 * @param key the request key of the caller
 * @param state the committed state
 * @param ended whether the job will never change again
 * @param outcome whether the job was run, null while it has not ended
 * @param worker the worker to which the job is bound
 * @param attempt the number of the attempt, 1 for the first
 * @param running whether the worker was last seen to run the job
 * @param result the result or the reason of the failure, empty until the job has ended
 */
public record JobBody(
        String job,
        String key,
        JobState state,
        boolean ended,
        @Nullable Outcome outcome,
        String worker,
        int attempt,
        boolean running,
        String result) {

    /**
     * Makes the body for the state of a job.
     *
     * @param status the state
     * @return the body
     */
    public static JobBody of(JobStatus status) {
        return new JobBody(
                status.job().value(),
                status.key().value(),
                status.state(),
                status.state().ended(),
                outcomeOf(status.state()),
                status.worker().value(),
                status.attempt(),
                status.running(),
                status.result());
    }

    /**
     * Makes the state again on the side that received the body.
     *
     * @return the state
     */
    public JobStatus toStatus() {
        return new JobStatus(
                new JobId(job),
                new RequestKey(key),
                state,
                new WorkerId(worker),
                attempt,
                running,
                result);
    }

    /**
     * Tells whether a job in a state was run.
     *
     * @param state the state
     * @return the outcome, or null if the job has not ended
     */
    private static @Nullable Outcome outcomeOf(JobState state) {
        return switch (state) {
            case BOUND, CANCELLING -> null;
            case SUCCEEDED, FAILED -> Outcome.RUN;
            case CANCELLED_BEFORE_START -> Outcome.NOT_RUN;
            case CANCELLED_AFTER_START, OUTCOME_UNKNOWN -> Outcome.OUTCOME_UNKNOWN;
        };
    }
}
