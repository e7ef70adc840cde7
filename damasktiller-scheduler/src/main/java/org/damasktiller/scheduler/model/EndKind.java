package org.damasktiller.scheduler.model;

/** The reason why a run ended, as reported by its worker. */
public enum EndKind {
    /** The task completed successfully. */
    DONE,
    /** The task failed, because of an error of its own or of the worker. */
    FAILED,
    /** The owner of the cell ordered the worker to stop the run. */
    STOPPED,
    /** The worker's lease expired before the owner of the cell renewed it. */
    LAPSED,
    /** Another member of the same gang ended. */
    BROKEN,
    /** The other members of the gang did not start while the run waited for them. */
    ALONE
}
