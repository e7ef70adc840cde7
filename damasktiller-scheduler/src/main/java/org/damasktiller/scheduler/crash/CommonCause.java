package org.damasktiller.scheduler.crash;

/** How likely a crash of a worker has a cause that concerns several workers. */
public enum CommonCause {

    /** No other worker crashed at about the same time, or a run explains each of these crashes. */
    UNLIKELY,

    /** Several workers crashed at about the same time, or another one without a run that may. */
    LIKELY,

    /** So many of all workers crashed at about the same time that few tasks can explain it. */
    MASS_CRASH
}
