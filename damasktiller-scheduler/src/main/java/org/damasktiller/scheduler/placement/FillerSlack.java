package org.damasktiller.scheduler.placement;

/**
 * How much of the slack of a filler job is used. The slack is the time that a job may take beyond
 * its estimated duration if it is to be done within most of its objective.
 */
public final class FillerSlack {

    /** The value of a job without any slack left. */
    public static final double USED_UP = 1;

    /** The part of the objective within which a filler job is to be done. */
    private static final double OBJECTIVE_FRACTION = 0.8;

    /** Prevents instantiation. */
    private FillerSlack() {}

    /**
     * Returns the used part of the slack of a job.
     *
     * @param elapsedMillis how long ago the job was accepted, in milliseconds
     * @param objectiveMillis within what time the job has to be done, in milliseconds
     * @param estimateMillis the estimated duration of the whole job, in milliseconds
     * @param remainingMillis the estimated duration of the work that is left, in milliseconds
     * @return the part, from 0 to {@link #USED_UP}
     */
    public static double usedPart(
            long elapsedMillis, long objectiveMillis, long estimateMillis, long remainingMillis) {
        double available = OBJECTIVE_FRACTION * objectiveMillis;
        double slack = available - estimateMillis;
        double left = available - elapsedMillis - remainingMillis;
        return slack <= 0 || left <= 0 ? USED_UP : Math.max(0, USED_UP - left / slack);
    }
}
