package org.damasktiller.scheduler.cell;

/** The state of a run as known to the owner of its cell. */
public enum RunPhase {
    /** The start request is in flight. */
    STARTING,
    /** The worker has confirmed the run. */
    RUNNING,
    /** The start request got no answer: the worker may run it, or may still receive it. */
    UNCERTAIN,
    /** The run has to stop. It may be active until the worker reports its end. */
    STOPPING
}
