package org.damasktiller.decision.health;

/** Tells how much work a worker may receive. */
public enum WorkerStanding {
    /** The worker receives work as usual. */
    GOOD,
    /** The worker receives no work until its probation has passed. */
    PROBATION,
    /** The worker receives one job at a time until enough of them succeed. */
    TRIAL
}
