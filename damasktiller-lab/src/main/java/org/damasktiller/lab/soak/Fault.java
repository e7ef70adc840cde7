package org.damasktiller.lab.soak;

import org.damasktiller.lab.rig.EntryProcess;

/** A fault that begins and ends. Several may be active at once, also of the same kind. */
interface Fault {

    /** Begins the fault. */
    void begin();

    /** Ends the fault. */
    void end();

    /**
     * Tells whether the fault keeps the program of an entry VM from being started again.
     *
     * @param entryVm the entry VM
     * @return whether it does
     */
    default boolean keepsDown(EntryProcess entryVm) {
        return false;
    }

    /**
     * Describes the fault for the report.
     *
     * @return what is done to what
     */
    String describe();
}
