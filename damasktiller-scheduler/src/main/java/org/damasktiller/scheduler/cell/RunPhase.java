package org.damasktiller.scheduler.cell;

/** What the owner knows of a run. */
public enum RunPhase {
    /** The order to start is on its way. */
    STARTING,
    /** The worker has confirmed the run. */
    RUNNING,
    /** The order to start got no answer: the run may be there, or may come late. */
    UNCERTAIN,
    /** The run is to stop; it may be there until the worker lists its end. */
    STOPPING
}
