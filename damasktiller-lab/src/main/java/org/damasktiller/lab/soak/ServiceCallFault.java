package org.damasktiller.lab.soak;

import org.damasktiller.lab.rig.RandomFaultPlan;
import org.damasktiller.standin.metadata.CallFault;

/** Injects a fault into a random share of the calls to the store or to a worker. */
final class ServiceCallFault implements Fault {

    /** The plan that decides which faults affect calls to the service. */
    private final RandomFaultPlan faultPlan;

    /** The name of the store or worker in the report. */
    private final String name;

    /** The fault that affects calls. */
    private final CallFault callFault;

    /** The probability that a call is affected, 0 to 1. */
    private final double probability;

    /**
     * Creates a fault.
     *
     * @param faultPlan the plan that decides which faults affect calls to the service
     * @param name the name of the store or worker in the report
     * @param callFault the fault that affects calls
     * @param probability the probability that a call is affected, 0 to 1
     */
    ServiceCallFault(
            RandomFaultPlan faultPlan, String name, CallFault callFault, double probability) {
        this.faultPlan = faultPlan;
        this.name = name;
        this.callFault = callFault;
        this.probability = probability;
    }

    @Override
    public void begin() {
        faultPlan.setProbability(callFault, probability);
    }

    @Override
    public void end() {
        faultPlan.setProbability(callFault, 0);
    }

    @Override
    public String describe() {
        return name + " " + callFault + " for " + Math.round(probability * 100) + "% of the calls";
    }
}
