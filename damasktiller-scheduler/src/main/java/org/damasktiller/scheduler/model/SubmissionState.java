package org.damasktiller.scheduler.model;

/** The states of a submission that callers see. */
public enum SubmissionState {
    /** No task has started. */
    QUEUED,
    /** A task has started. */
    RUNNING,
    /** Every task has ended well. */
    SUCCEEDED,
    /** A task used up its attempts. */
    FAILED,
    /** The caller cancelled it. */
    CANCELLED;

    /**
     * Tells whether the state can change no more.
     *
     * @return whether it is final
     */
    public boolean isFinal() {
        return this != QUEUED && this != RUNNING;
    }
}
