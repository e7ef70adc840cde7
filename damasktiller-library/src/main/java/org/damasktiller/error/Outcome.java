package org.damasktiller.error;

/** States whether the work of a failed request was run. */
public enum Outcome {
    /** The work was not run, and this request will not run it later. */
    NOT_RUN,
    /** The work was run. */
    RUN,
    /** The work may have been run; the system does not run it again. */
    OUTCOME_UNKNOWN
}
