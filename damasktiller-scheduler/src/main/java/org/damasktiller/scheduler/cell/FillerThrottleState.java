package org.damasktiller.scheduler.cell;

import java.util.HashMap;
import java.util.Map;

/** The throttling state of the fillers of one worker. */
final class FillerThrottleState {

    /** Whether all fillers of the worker are paused. */
    boolean paused;

    /** When the fillers were last paused or resumed, in milliseconds. */
    long changedAtMillis;

    /** The CPU shares of the fillers at the last evaluation, by image. */
    Map<String, Double> lastCpuShares = Map.of();

    /** When the latencies of the worker were last evaluated, in milliseconds. */
    long evaluatedAtMillis;

    /**
     * The predicted impacts of another filler on the serving tasks of the worker. Cleared when a
     * run starts or ends and when latencies are evaluated.
     */
    final Map<FillerKind, Double> predictedImpacts = new HashMap<>();

    /** Creates the state of a worker whose fillers are not paused. */
    FillerThrottleState() {}

    /**
     * Records that the fillers are paused or resumed.
     *
     * @param pause true to pause, false to resume
     * @param nowMillis the current time, in milliseconds
     */
    void setPaused(boolean pause, long nowMillis) {
        paused = pause;
        changedAtMillis = nowMillis;
    }

    /**
     * What distinguishes one filler from another in a prediction.
     *
     * @param image the image of the filler
     * @param cpuMillicores the CPU that it requests, in millicores
     */
    record FillerKind(String image, long cpuMillicores) {}
}
