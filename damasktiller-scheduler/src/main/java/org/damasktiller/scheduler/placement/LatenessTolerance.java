package org.damasktiller.scheduler.placement;

import org.damasktiller.scheduler.order.Lateness;

/**
 * Lets a filler disturb in proportion to what its caller still gains.
 *
 * <p>Load pattern: more fillers than serving tasks tolerate, so that some of them are late. If they
 * may disturb more because they have waited longest, they take the place of fillers that could
 * still be on time.
 */
public final class LatenessTolerance implements FillerTolerance {

    /** The part of the impact that work which will be late may have. */
    private static final double LATE_FRACTION = 0.15;

    /** How much a filler may disturb that can be on time. */
    private final FillerTolerance onTime;

    /**
     * Creates a tolerance.
     *
     * @param onTime how much a filler may disturb that can be on time
     */
    public LatenessTolerance(FillerTolerance onTime) {
        this.onTime = onTime;
    }

    @Override
    public double allowedImpact(Lateness lateness, long waitedMillis) {
        double impact = onTime.allowedImpact(lateness, waitedMillis);
        return lateness == Lateness.ON_TIME ? impact : LATE_FRACTION * impact;
    }
}
