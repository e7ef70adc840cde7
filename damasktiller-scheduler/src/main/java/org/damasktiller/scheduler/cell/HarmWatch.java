package org.damasktiller.scheduler.cell;

/** Whether the fillers of a worker are paused for the sake of the tasks that serve there. */
final class HarmWatch {

    /** Whether the fillers are paused. */
    boolean paused;

    /** When the present state began, in milliseconds. */
    long sinceMillis;

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
