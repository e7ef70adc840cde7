package org.damasktiller.scheduler.placement;

import org.damasktiller.scheduler.order.Lateness;

/**
 * Lets a filler disturb more, the longer it waits. So each pair of images is tried from time to
 * time, and what is known of its effect stays up to date.
 */
public final class WaitingTolerance implements FillerTolerance {

    /** The impact that a filler may have if it has not waited, in serving tasks. */
    private static final double INITIAL_IMPACT = 0.2;

    /** The increase of the impact for each second that a filler waits, in serving tasks. */
    private static final double IMPACT_PER_SECOND = 0.15;

    /** The number of milliseconds in a second. */
    private static final double MILLIS_PER_SECOND = 1_000;

    /** Creates a tolerance. */
    public WaitingTolerance() {}

    @Override
    public double allowedImpact(Lateness lateness, long waitedMillis) {
        return INITIAL_IMPACT + IMPACT_PER_SECOND * waitedMillis / MILLIS_PER_SECOND;
    }
}
