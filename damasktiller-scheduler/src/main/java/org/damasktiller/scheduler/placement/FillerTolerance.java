package org.damasktiller.scheduler.placement;

import org.damasktiller.scheduler.order.Lateness;

/** Decides how much a filler that waits may disturb serving tasks. */
@FunctionalInterface
public interface FillerTolerance {

    /**
     * Returns the impact on serving tasks that a filler may have where it starts.
     *
     * @param lateness whether its job can still be on time
     * @param waitedMillis how long the task has waited, in milliseconds
     * @return the impact, as a number of serving tasks pushed over their target
     */
    double allowedImpact(Lateness lateness, long waitedMillis);
}
