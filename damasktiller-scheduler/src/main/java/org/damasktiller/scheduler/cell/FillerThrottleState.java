package org.damasktiller.scheduler.cell;

import java.util.Map;

/** The throttling state of the fillers of one worker. */
final class FillerThrottleState {

    /** Whether all fillers of the worker are paused. */
    boolean paused;

    /** When the fillers were last paused or resumed, in milliseconds. */
    long sinceMillis;

    /** The CPU shares of the fillers at the last evaluation, by image. */
    Map<String, Double> lastShares = Map.of();

    /** When the latencies of the worker were last evaluated, in milliseconds. */
    long judgedAtMillis;

    /** Creates the state of a worker whose fillers are not paused. */
    FillerThrottleState() {}

    /**
     * Records that the fillers are paused or resumed.
     *
     * @param pause true to pause, false to resume
     * @param nowMillis the current time, in milliseconds
     */
    void set(boolean pause, long nowMillis) {
        paused = pause;
        sinceMillis = nowMillis;
    }
}
