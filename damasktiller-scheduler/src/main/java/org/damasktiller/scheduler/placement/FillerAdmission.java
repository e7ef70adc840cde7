package org.damasktiller.scheduler.placement;

/**
 * Decides how much a filler may disturb serving tasks when it starts.
 *
 * <p>Load pattern: fillers are done long before their objectives need it, and each of them disturbs
 * the serving tasks next to it. While a filler has time left it waits for a worker whose serving
 * tasks bear it; the less time is left, the more it may disturb.
 */
public final class FillerAdmission {

    /**
     * The impact that a filler may have if it has not waited, in serving tasks pushed over their
     * target.
     */
    private static final double INITIAL_IMPACT = 0.2;

    /** The increase of the allowed impact for each second that a filler waits, in serving tasks. */
    private static final double IMPACT_PER_SECOND = 0.15;

    /** The impact that a filler may have while none of its slack is used, in serving tasks. */
    private static final double SLACK_INITIAL_IMPACT = 0.02;

    /** The impact that a filler may have once its slack is used up, in serving tasks. */
    private static final double SLACK_FINAL_IMPACT = 1;

    /** The number of milliseconds in a second. */
    private static final double MILLIS_PER_SECOND = 1_000;

    /** Prevents instantiation. */
    private FillerAdmission() {}

    /**
     * Returns the impact that a filler may have, by how long it has waited.
     *
     * @param waitedMillis how long the filler has waited, in milliseconds
     * @return the number of serving tasks pushed over their target
     */
    public static double byWaiting(long waitedMillis) {
        return INITIAL_IMPACT + IMPACT_PER_SECOND * waitedMillis / MILLIS_PER_SECOND;
    }

    /**
     * Returns the impact that a filler may have, by how much of its slack is used.
     *
     * @param usedSlack the used part of the slack, from 0 to {@link FillerSlack#USED_UP}
     * @param waitedMillis how long the filler has waited, in milliseconds
     * @return the number of serving tasks pushed over their target
     */
    public static double bySlack(double usedSlack, long waitedMillis) {
        double impact =
                SLACK_INITIAL_IMPACT
                        + (SLACK_FINAL_IMPACT - SLACK_INITIAL_IMPACT) * usedSlack * usedSlack;
        return usedSlack < FillerSlack.USED_UP
                ? impact
                : impact + IMPACT_PER_SECOND * waitedMillis / MILLIS_PER_SECOND;
    }
}
