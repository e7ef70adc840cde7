package org.damasktiller.authority.cell;

/** Lists the committed states of a job. */
public enum JobState {
    /** Accepted and bound to a worker; it waits or runs. */
    BOUND,
    /** To be stopped because the caller cancelled it. */
    CANCELLING,
    /** Ran to its end and succeeded. */
    SUCCEEDED,
    /** Ran and failed. */
    FAILED,
    /** Cancelled before anything could start; it was not run and never will be. */
    CANCELLED_BEFORE_START,
    /** Cancelled after it may have begun. */
    CANCELLED_AFTER_START,
    /** May have begun, was lost, and must not be started twice. */
    OUTCOME_UNKNOWN;

    /**
     * Tells whether the job will never change again.
     *
     * @return whether the job has ended
     */
    public boolean ended() {
        return this != BOUND && this != CANCELLING;
    }
}
