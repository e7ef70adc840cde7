package org.damasktiller.daemon.entry;

/** Tells whether an entry VM takes new work. */
public enum Readiness {
    /** The VM has no table yet. */
    STARTING,
    /** The VM takes new work. */
    READY,
    /** The VM finishes what is in flight and takes no new work. */
    DRAINING
}
