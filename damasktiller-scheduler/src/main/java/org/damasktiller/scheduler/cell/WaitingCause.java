package org.damasktiller.scheduler.cell;

/** Why a task waits although its turn has come; the first that applies counts. */
enum WaitingCause {
    /** The stored progress of the submission can't be read, so that the task may be done. */
    PROGRESS_UNREADABLE,

    /** The store rejects the progress of the submission, so that no end can be stored. */
    PROGRESS_SET_ASIDE,

    /** No check of ownership covers the submission yet, so that a successor may have it. */
    OWNERSHIP_NOT_VERIFIED,

    /** A previous owner may still start tasks of the submission. */
    PREVIOUS_OWNERS_NOT_EXCLUDED,

    /** A run that a previous owner has started may be active on a closed worker. */
    HELD_BY_PREVIOUS_RUN,

    /** A start request without an answer may still arrive at its worker. */
    START_MAY_ARRIVE,

    /** A run of the task has not stopped yet. */
    RUN_NOT_STOPPED,

    /** A worker has not understood the last start request, which is sent again after a time. */
    START_DELAYED,

    /** The outcome of a start that a previous owner has sent may still show. */
    OUTCOME_PENDING,

    /** Other members of the gang have runs or may not start. */
    GANG_NOT_READY,

    /** The task may crash its worker, so that only few workers may run it. */
    SUSPECT,

    /** No worker was found, or the starts of other tasks went first. */
    NO_WORKER
}
