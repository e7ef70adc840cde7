package org.damasktiller.scheduler.placement;

/**
 * Decides how fast the CPU limit of a throttled filler is raised again.
 *
 * <p>Load pattern: a filler that gets its full speed back at once disturbs the same serving task
 * again, so that the two alternate. A filler with time left gets its speed back slowly, so that it
 * stays for longer near the speed that the serving task bears.
 */
public final class FillerPacing {

    /** The step of a filler without slack, in percentage points for each poll. */
    public static final int FULL_STEP_PERCENT = 30;

    /** The step of a filler that has used none of its slack, in percentage points. */
    private static final int MIN_STEP_PERCENT = 6;

    /** Prevents instantiation. */
    private FillerPacing() {}

    /**
     * Returns by how much a CPU limit is raised after a poll at which all serving tasks of the
     * worker have recovered.
     *
     * @param usedSlack the used part of the slack, from 0 to {@link FillerSlack#USED_UP}
     * @return the step, in percentage points of the request
     */
    public static int stepPercent(double usedSlack) {
        return MIN_STEP_PERCENT
                + (int) ((FULL_STEP_PERCENT - MIN_STEP_PERCENT) * usedSlack * usedSlack);
    }
}
