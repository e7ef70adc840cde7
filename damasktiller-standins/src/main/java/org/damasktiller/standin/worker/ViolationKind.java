package org.damasktiller.standin.worker;

/** Lists the rules that the observer checks. */
public enum ViolationKind {
    /** A worker was given more than it has. */
    OVERCOMMIT,
    /** A job ran in two places at once. */
    TWO_PLACES,
    /** The same attempt was started twice. */
    ATTEMPT_STARTED_TWICE,
    /** A job that must not be repeated was started again after it had succeeded. */
    RUN_AGAIN,
    /** A part of a job that its checkpoint already held was run again. */
    PART_REPEATED
}
