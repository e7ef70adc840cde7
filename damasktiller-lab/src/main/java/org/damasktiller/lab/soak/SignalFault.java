package org.damasktiller.lab.soak;

import org.damasktiller.lab.rig.EntryProcess;

/**
 * Sends a signal to the process of an entry VM. A process that is suspended by the signal is
 * resumed when the fault ends; one that terminates may be restarted from then on.
 */
final class SignalFault implements Fault {

    /** The entry VM whose process gets the signal. */
    private final EntryProcess entryVm;

    /** The name of the signal without the prefix SIG. */
    private final String signal;

    /**
     * Creates a fault.
     *
     * @param entryVm the entry VM whose process gets the signal
     * @param signal the name of the signal without the prefix SIG
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
