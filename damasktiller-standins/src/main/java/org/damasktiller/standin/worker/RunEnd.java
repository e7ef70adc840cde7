package org.damasktiller.standin.worker;

/** Tells how a run of an attempt ended. */
public enum RunEnd {
    /** The attempt still runs. */
    NONE,
    /** The task succeeded. */
    SUCCEEDED,
    /** The task failed by itself. */
    FAILED,
    /** A command stopped the attempt. */
    STOPPED,
    /** The lease of the attempt lapsed. */
    LAPSED,
    /** The worker lost the attempt together with its memory. */
    LOST
}
