package org.damasktiller.scheduler.model;

/** The state of a submission as reported to callers. Stored and sent under the constant's name. */
public enum SubmissionState {
    /** The submission is accepted, and no task has started. */
    QUEUED,
    /** At least one task has started, and the submission has not ended. */
    RUNNING,
    /** All tasks completed successfully. */
    SUCCEEDED,
    /** A task failed as often as its route allows. */
    FAILED,
    /** The caller cancelled the submission. */
    CANCELLED;

    /**
     * Returns whether the submission has ended, so that the state no longer changes.
     *
     * @return true if the state is final
     */
    public boolean isFinal() {
        return this != QUEUED && this != RUNNING;
    }
}
