package org.damasktiller.vm;

/** Tells what a VM of the platform's list does. */
public enum VmRole {
    /** An entry VM of the system. */
    ENTRY,
    /** A worker that runs tasks. */
    WORKER,
    /** An endpoint that answers interactive requests. */
    ENDPOINT
}
