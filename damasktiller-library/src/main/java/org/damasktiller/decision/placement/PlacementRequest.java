package org.damasktiller.decision.placement;

import java.util.List;
import org.damasktiller.identity.JobId;
import org.damasktiller.identity.KindName;
import org.damasktiller.identity.ZoneName;
import org.damasktiller.resource.Resources;

/**
 * Asks for a worker for one job.
 *
 * @param job the job
 * @param kind the kind of the job
 * @param size what has to be reserved
 * @param leaveFree what has to stay free on the worker besides
 * @param places the availability zones allowed, empty for any
 */
public record PlacementRequest(
        JobId job, KindName kind, Resources size, Resources leaveFree, List<ZoneName> places) {

    /** The percent of a whole. */
    private static final int PERCENT = 100;

    /** Copies the list of places. */
    public PlacementRequest {
        places = List.copyOf(places);
    }

    /**
     * Returns the request at a lower speed.
     *
     * @param speedPercent the part of the processors, in percent
     * @return the request with less processors
     */
    public PlacementRequest throttled(int speedPercent) {
        long processors = Math.max(1, size.milliProcessors() * speedPercent / PERCENT);
        Resources slower = new Resources(processors, size.memoryMegabytes(), size.accelerators());
        return new PlacementRequest(job, kind, slower, leaveFree, places);
    }
}
