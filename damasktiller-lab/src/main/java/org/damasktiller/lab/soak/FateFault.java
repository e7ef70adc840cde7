package org.damasktiller.lab.soak;

import org.damasktiller.lab.rig.SeededFates;
import org.damasktiller.standin.metadata.CallFate;

/** Injects a fault into a random share of the calls to the store or to a worker. */
final class FateFault implements Fault {

    /** The plan that decides which faults affect calls to the service. */
    private final SeededFates fates;

    /** The name of the store or worker in the report. */
    private final String name;

    /** The fault that affects calls. */
    private final CallFate fate;

    /** The probability that a call is affected, 0 to 1. */
    private final double chance;

    /**
     * Creates a fault.
     *
     * @param fates the plan that decides which faults affect calls to the service
     * @param name the name of the store or worker in the report
     * @param fate the fault that affects calls
     * @param chance the probability that a call is affected, 0 to 1
     */
    FateFault(SeededFates fates, String name, CallFate fate, double chance) {
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
