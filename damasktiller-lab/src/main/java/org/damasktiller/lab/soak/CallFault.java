package org.damasktiller.lab.soak;

import org.damasktiller.lab.rig.RandomFatePlan;
import org.damasktiller.standin.metadata.CallFate;

/** Injects a fault into a random share of the calls to the store or to a worker. */
final class CallFault implements Fault {

    /** The plan that decides which faults affect calls to the service. */
    private final RandomFatePlan fatePlan;

    /** The name of the store or worker in the report. */
    private final String name;

    /** The fault that affects calls. */
    private final CallFate fate;

    /** The probability that a call is affected, 0 to 1. */
    private final double probability;

    /**
     * Creates a fault.
     *
     * @param fatePlan the plan that decides which faults affect calls to the service
     * @param name the name of the store or worker in the report
     * @param fate the fault that affects calls
     * @param probability the probability that a call is affected, 0 to 1
     */
    CallFault(RandomFatePlan fatePlan, String name, CallFate fate, double probability) {
        this.fatePlan = fatePlan;
        this.name = name;
        this.fate = fate;
        this.probability = probability;
    }

    @Override
    public void begin() {
        fatePlan.setProbability(fate, probability);
    }

    @Override
    public void end() {
        fatePlan.setProbability(fate, 0);
    }

    @Override
    public String describe() {
        return name + " " + fate + " for " + Math.round(probability * 100) + "% of the calls";
    }
}
