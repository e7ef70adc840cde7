package org.damasktiller.lab.soak;

import org.damasktiller.lab.rig.SeededFates;
import org.damasktiller.standin.metadata.CallFault;

/** Gives some calls of a service another fate than an answer. */
final class FateFault implements Fault {

    /** What becomes of calls. */
    private final SeededFates fates;

    /** The name of the service. */
    private final String name;

    /** The fate. */
    private final CallFault fate;

    /** The chance of the fate, 0 to 1. */
    private final double chance;

    /**
     * Creates a fault.
     *
     * @param fates what becomes of calls
     * @param name the name of the service
     * @param fate the fate
     * @param chance the chance of the fate, 0 to 1
     */
    FateFault(SeededFates fates, String name, CallFault fate, double chance) {
        this.fates = fates;
        this.name = name;
        this.fate = fate;
        this.chance = chance;
    }

    @Override
    public void begin() {
        fates.set(fate, chance);
    }

    @Override
    public void end() {
        fates.set(fate, 0);
    }

    @Override
    public String describe() {
        return name + " " + fate + " for " + Math.round(chance * 100) + "% of the calls";
    }
}
