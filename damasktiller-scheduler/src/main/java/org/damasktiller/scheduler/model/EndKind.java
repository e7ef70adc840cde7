package org.damasktiller.scheduler.model;

/** How a run ended. */
public enum EndKind {
    /** The task is done. */
    DONE,
    /** The task failed through its own fault or the worker's. */
    FAILED,
    /** The run was stopped by an order. */
    STOPPED,
    /** The worker's lease expired. */
    LAPSED,
    /** Another member of the gang ended. */
    BROKEN,
    /** The run waited in vain for the rest of its gang. */
    ALONE
}
