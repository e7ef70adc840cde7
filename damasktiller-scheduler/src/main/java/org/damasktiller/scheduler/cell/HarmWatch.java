package org.damasktiller.scheduler.cell;

import java.util.Map;

/**
 * What the owner knows of the harm that the fillers of a worker do to the tasks that serve there.
 */
final class HarmWatch {

    /** Whether all fillers are paused. */
    boolean paused;

    /** When the present state began, in milliseconds. */
    long sinceMillis;

    /** What the fillers worked at the last look, by image. */
    Map<String, Double> lastShares = Map.of();

    /** When the last look was judged, in milliseconds. */
    long judgedAtMillis;

    /** Creates a watch of a worker whose fillers work. */
    HarmWatch() {}

    /**
     * Changes the state.
     *
     * @param pause whether the fillers are to pause
     * @param nowMillis the time, in milliseconds
     */
    void set(boolean pause, long nowMillis) {
        paused = pause;
        sinceMillis = nowMillis;
    }
}
