package org.damasktiller.lab.rig;

import java.util.EnumMap;
import java.util.Map;
import org.apache.commons.math3.random.RandomGenerator;
import org.damasktiller.standin.metadata.CallFault;
import org.damasktiller.standin.metadata.FaultPlan;

/**
 * Selects the fault of each call at random. The probabilities of the faults may change while a
 * deployment runs.
 */
public final class RandomFaultPlan implements FaultPlan {

    /** Selects the faults. */
    private final RandomGenerator random;

    /** The probabilities of the faults, 0 to 1. The remaining probability is that of no fault. */
    private final Map<CallFault, Double> probabilities = new EnumMap<>(CallFault.class);

    /**
     * Creates a plan without faults.
     *
     * @param random the random number generator that selects the faults
     */
    public RandomFaultPlan(RandomGenerator random) {
        this.random = random;
    }

    /**
     * Sets the probability of a fault.
     *
     * @param callFault the fault
     * @param probability the probability that a call is affected, 0 to 1; 0 disables the fault
     */
    public void setProbability(CallFault callFault, double probability) {
        probabilities.put(callFault, probability);
    }

    @Override
    public CallFault faultFor(String call) {
        double drawn = random.nextDouble();
        for (Map.Entry<CallFault, Double> entry : probabilities.entrySet()) {
            drawn -= entry.getValue();
            if (drawn < 0) {
                return entry.getKey();
            }
        }
        return CallFault.ANSWERED;
    }
}
