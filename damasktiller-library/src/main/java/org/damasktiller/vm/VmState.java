package org.damasktiller.vm;

/** Tells what the platform's list says of a VM. */
public enum VmState {
    /** The VM is live. */
    LIVE,
    /** The VM is leaving and must receive no new work. */
    LEAVING,
    /** The VM is gone; nothing runs on it any more. */
    GONE
}
