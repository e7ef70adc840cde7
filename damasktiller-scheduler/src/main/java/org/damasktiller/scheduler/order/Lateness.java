package org.damasktiller.scheduler.order;

/** Whether work can still be of use, in the order in which it gets workers. */
public enum Lateness {
    /** The work can meet its objective. */
    ON_TIME,

    /** The work will miss its objective. */
    LATE,

    /** The work will finish too late to be of use. */
    TOO_LATE
}
