package org.damasktiller.lab.rig;

import java.util.EnumMap;
import java.util.Map;
import org.apache.commons.math3.random.RandomGenerator;
import org.damasktiller.standin.metadata.CallFault;
import org.damasktiller.standin.metadata.FaultPlan;

/** Draws what becomes of each call; the chances change while a deployment runs. */
public final class SeededFates implements FaultPlan {

    /** Draws. */
    private final RandomGenerator random;

    /** The chance of each fate other than an answer, 0 to 1. */
    private final Map<CallFault, Double> chances = new EnumMap<>(CallFault.class);

    /**
     * Creates a plan that lets every call be answered.
     *
     * @param random draws
     */
    public SeededFates(RandomGenerator random) {
        this.random = random;
    }

    /**
     * Sets the chance of a fate.
     *
     * @param fate the fate
     * @param chance its chance, 0 to 1
     */
    public void set(CallFault fate, double chance) {
        chances.put(fate, chance);
    }

    @Override
    public CallFault faultFor(String call) {
        double drawn = random.nextDouble();
        for (Map.Entry<CallFault, Double> chance : chances.entrySet()) {
            drawn -= chance.getValue();
            if (drawn < 0) {
                return chance.getKey();
            }
        }
        return CallFault.ANSWERED;
    }
}
