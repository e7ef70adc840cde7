package org.damasktiller.decision.dispatch;

/** Tells how a task ended. */
public enum TaskResult {
    /** The job is complete. */
    SUCCEEDED,
    /** The task failed; the job is tried again unless it is poisoned. */
    FAILED,
    /** The task was stopped with a checkpoint; the job waits for its next start. */
    EVICTED,
    /** The task was stopped because the job was cancelled. */
    CANCELLED
}
