package org.damasktiller.lab.rig;

import java.util.EnumMap;
import java.util.Map;
import org.apache.commons.math3.random.RandomGenerator;
import org.damasktiller.standin.metadata.CallFate;
import org.damasktiller.standin.metadata.FatePlan;

/** Draws what becomes of each call; the chances change while a deployment runs. */
public final class SeededFates implements FatePlan {

    /** Draws. */
    private final RandomGenerator random;

    /** The chance of each fate other than an answer, 0 to 1. */
    private final Map<CallFate, Double> chances = new EnumMap<>(CallFate.class);

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
    public void set(CallFate fate, double chance) {
        chances.put(fate, chance);
    }

    @Override
    public CallFate decide(String call) {
        double drawn = random.nextDouble();
        for (Map.Entry<CallFate, Double> chance : chances.entrySet()) {
            drawn -= chance.getValue();
            if (drawn < 0) {
                return chance.getKey();
            }
        }
        return CallFate.ANSWERED;
    }
}
