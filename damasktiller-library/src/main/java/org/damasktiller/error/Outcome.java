package org.damasktiller.error;

/** Tells whether the work of a failed request was run. */
public enum Outcome {
    /** The work was not run, and never will be under this request. */
    NOT_RUN,
    /** The work was run. */
    RUN,
    /** The work may have been run; it will not be run again by the system. */
    OUTCOME_UNKNOWN
}
