package org.damasktiller.scheduler.cell;

import java.util.ArrayList;
import org.damasktiller.scheduler.model.StepSpec;

/**
 * Takes work off workers that leave. Load pattern: a worker drains for some seconds and then ends
 * all that it runs; lasting tasks move at once, work that saves its progress is stopped in time to
 * go on elsewhere, and the rest is left to end.
 */
final class DrainControl {

    /** How long before the leave work that saves its progress is stopped, in milliseconds. */
    private static final long SAVE_AHEAD_MILLIS = 1_000;

    /** The shared part. */
    private final CellCore core;

    /** Sends the orders. */
    private final RunRequestSender requestSender;

    /** The expected run times. */
    private final RunTimeEstimator runTimes;

    /**
     * Creates the control.
     *
     * @param core the shared part
     * @param requestSender sends the orders
     * @param runTimes the expected run times
     */
    DrainControl(CellCore core, RunRequestSender requestSender, RunTimeEstimator runTimes) {
        this.core = core;
        this.requestSender = requestSender;
        this.runTimes = runTimes;
    }

    /**
     * Judges a worker and stops what has to move.
     *
     * @param worker the worker
     */
    void judge(WorkerRecord worker) {
        if (!worker.entry.draining()) {
            worker.drainingSinceMillis = RunRecord.UNKNOWN;
            return;
        }
        long now = core.now();
        if (worker.drainingSinceMillis == RunRecord.UNKNOWN) {
            worker.drainingSinceMillis = now;
        }
        long left = worker.drainingSinceMillis + worker.entry.remainingMillis() - now;
        for (RunRecord run : new ArrayList<>(worker.runs.values())) {
            TaskRecord task = run.task;
            if (task != null
                    && run.phase == RunPhase.RUNNING
                    && mustMove(run, task.step.spec, left, now)) {
                requestSender.stop(run);
            }
        }
    }

    /**
     * Tells whether a run has to move now.
     *
     * @param run the run
     * @param spec its step
     * @param leftMillis the least time until the worker leaves, in milliseconds
     * @param now the time, in milliseconds
     * @return whether it has
     */
    private boolean mustMove(RunRecord run, StepSpec spec, long leftMillis, long now) {
        if (spec.lasting()) {
            return true;
        }
        long open = run.trackedSinceMillis + runTimes.expectedMillis(spec) - now;
        return spec.checkpointing() && leftMillis < SAVE_AHEAD_MILLIS && open > leftMillis;
    }
}
