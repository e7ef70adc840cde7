package org.damasktiller.scheduler.order;

/** The kinds of work, in the order in which they get workers. */
public enum WorkRank {
    /** Long-running tasks that have run before. */
    RESTART,

    /** Tasks that end and are not fillers. */
    URGENT,

    /** Long-running tasks that have not run. */
    LONG_RUNNING,

    /** Fillers. */
    FILLER
}
