package org.damasktiller.lab.soak;

import org.damasktiller.lab.rig.EntryVmProcess;

/**
 * Sends a signal to the process of an entry VM. A process that is suspended by the signal is
 * resumed when the fault ends; one that terminates may be restarted from then on.
 */
final class SignalFault implements Fault {

    /** The entry VM whose process gets the signal. */
    private final EntryVmProcess entryVm;

    /** The name of the signal without the prefix SIG. */
    private final String signal;

    /**
     * Creates a fault.
     *
     * @param entryVm the entry VM whose process gets the signal
     * @param signal the name of the signal without the prefix SIG
     */
    SignalFault(EntryVmProcess entryVm, String signal) {
        this.entryVm = entryVm;
        this.signal = signal;
    }

    @Override
    public void begin() {
        entryVm.sendSignal(signal);
    }

    @Override
    public void end() {
        entryVm.sendSignal("CONT");
    }

    @Override
    public boolean preventsRestart(EntryVmProcess other) {
        return other == entryVm;
    }

    @Override
    public String describe() {
        return "signal " + signal + " to " + entryVm.name();
    }
}
