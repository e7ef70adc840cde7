package org.damasktiller.decision.interference;

/**
 * Holds the settings of the score by predicted harm.
 *
 * @param allowedSlowdown the slowdown above one up to which a guarded kind may be slowed down
 * @param exploration the standard deviations by which estimates are drawn, zero for none
 * @param loadCost the cost of a whole worker's load, so that load is spread
 * @param sufferedCost the cost of the slowdown of the batch job itself
 */
public record HarmSettings(
        double allowedSlowdown, double exploration, double loadCost, double sufferedCost) {

    /** The settings for ordinary use. */
    public static final HarmSettings ORDINARY = new HarmSettings(0.15, 0.5, 0.02, 0.1);
}
