package org.damasktiller.lab.soak;

import org.damasktiller.lab.rig.EntryProcess;

/** Sends a signal to the program of an entry VM, and lets it go on or start again at the end. */
final class SignalFault implements Fault {

    /** The entry VM. */
    private final EntryProcess entryVm;

    /** The name of the signal. */
    private final String signal;

    /**
     * Creates a fault.
     *
     * @param entryVm the entry VM
     * @param signal the name of the signal
     */
    SignalFault(EntryProcess entryVm, String signal) {
        this.entryVm = entryVm;
        this.signal = signal;
    }

    @Override
    public void begin() {
        entryVm.signal(signal);
    }

    @Override
    public void end() {
        entryVm.signal("CONT");
    }

    @Override
    public boolean keepsDown(EntryProcess other) {
        return other == entryVm;
    }

    @Override
    public String describe() {
        return "signal " + signal + " to " + entryVm.name();
    }
}
