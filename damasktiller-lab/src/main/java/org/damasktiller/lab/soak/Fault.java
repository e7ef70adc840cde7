package org.damasktiller.lab.soak;

import org.damasktiller.lab.rig.EntryVmProcess;

/**
 * A fault that lasts for a limited time. Several faults may be active at the same time, including
 * faults of the same kind.
 */
interface Fault {

    /** Begins the fault. Called once. */
    void begin();

    /**
     * Ends the fault and restores normal operation as far as the fault is reversible. Called at
     * most once, after {@link #begin()}.
     */
    void end();

    /**
     * Returns whether the process of an entry VM must not be restarted while the fault is active.
     *
     * @param entryVm the entry VM
     * @return true if it must not be restarted, false by default
     */
    default boolean preventsRestart(EntryVmProcess entryVm) {
        return false;
    }

    /**
     * Returns a description of the fault for the report.
     *
     * @return the affected component and the kind of the fault, in one line
     */
    String describe();
}
