package org.damasktiller.authority.cell;

import org.damasktiller.identity.JobId;
import org.damasktiller.identity.WorkerId;
import org.damasktiller.worker.AttemptId;
import org.damasktiller.worker.Checkpoint;
import org.jspecify.annotations.Nullable;

/**
 * Holds the whole committed state of a job.
 *
 * @param id the job
 * @param submission what was submitted
 * @param state the state
 * @param binding where the present attempt may run
 * @param checkpoint where the present attempt continues, or null for the beginning
 * @param begun whether an earlier attempt may have begun
 * @param failures how many attempts failed by themselves
 * @param result the result or the reason of the failure, empty until the job has ended
 * @param changedMillis when the record was made, in milliseconds
 */
record JobRecord(
        JobId id,
        JobSubmission submission,
        JobState state,
        Binding binding,
        @Nullable Checkpoint checkpoint,
        boolean begun,
        int failures,
        String result,
        long changedMillis) {

    /**
     * Returns the present attempt.
     *
     * @return the attempt
     */
    AttemptId attemptId() {
        return new AttemptId(id, binding.attempt());
    }

    /**
     * Returns the worker to which the job is bound.
     *
     * @return the worker
     */
    WorkerId worker() {
        return binding.worker();
    }

    /**
     * Returns this record in another state.
     *
     * @param next the state
     * @param text the result, empty if the job has not ended
     * @param nowMillis the time, in milliseconds
     * @return the record
     */
    JobRecord withState(JobState next, String text, long nowMillis) {
        return new JobRecord(
                id, submission, next, binding, checkpoint, begun, failures, text, nowMillis);
    }

    /**
     * Returns this record bound to another place under the next attempt.
     *
     * @param place the place, whose attempt number is ignored
     * @param from where to continue, or null for the beginning
     * @param presentBegun whether the present attempt may have begun
     * @param failed whether the present attempt failed by itself
     * @param nowMillis the time, in milliseconds
     * @return the record
     */
    JobRecord rebound(
            Binding place,
            @Nullable Checkpoint from,
            boolean presentBegun,
            boolean failed,
            long nowMillis) {
        return new JobRecord(
                id,
                submission,
                state,
                new Binding(place.worker(), place.incarnation(), binding.attempt() + 1),
                from,
                begun || presentBegun,
                failures + (failed ? 1 : 0),
                result,
                nowMillis);
    }
}
