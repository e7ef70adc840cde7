package org.damasktiller.scheduler.cell;

import java.util.ArrayList;
import org.damasktiller.scheduler.estimate.RunTimeEstimator;
import org.damasktiller.scheduler.model.StepSpec;

/**
 * Moves work off draining workers. Load pattern: a worker drains for several seconds, then ends all
 * runs that are left. Long-running tasks are stopped at once so that they restart elsewhere.
 * Checkpointing tasks that will not finish in time are stopped shortly before the worker leaves, so
 * that they resume elsewhere from their checkpoint. All other runs may use the remaining time to
 * finish.
 */
final class DrainController {

    /**
     * The remaining time of a draining worker below which its checkpointing runs are stopped, in
     * milliseconds.
     */
    private static final long CHECKPOINT_STOP_LEAD_MILLIS = 1_000;

    /** The shared state of the cell's owner. */
    private final CellContext context;

    /** Sends the stop requests. */
    private final RunRequestSender requestSender;

    /** Estimates the run times of steps. */
    private final RunTimeEstimator runTimes;

    /**
     * Creates a controller.
     *
     * @param context the shared state of the cell's owner
     * @param requestSender sends the stop requests
     * @param runTimes estimates the run times of steps
     */
    DrainController(
            CellContext context, RunRequestSender requestSender, RunTimeEstimator runTimes) {
        this.context = context;
        this.requestSender = requestSender;
        this.runTimes = runTimes;
    }

    /**
     * Records when a worker began to drain, and stops the runs that have to move off it now. Called
     * for each worker on each tick of the owner.
     *
     * @param worker the worker
     */
    void update(WorkerRecord worker) {
        if (!worker.entry.draining()) {
            worker.drainingSinceMillis = RunRecord.UNKNOWN;
            return;
        }
        long now = context.now();
        if (worker.drainingSinceMillis == RunRecord.UNKNOWN) {
            worker.drainingSinceMillis = now;
        }
        long untilLeaveMillis = worker.drainingSinceMillis + worker.entry.remainingMillis() - now;
        for (RunRecord run : new ArrayList<>(worker.runs.values())) {
            TaskRecord task = run.task;
            if (task != null
                    && run.phase == RunPhase.RUNNING
                    && mustMove(run, task.step.spec, untilLeaveMillis, now)) {
                requestSender.stop(run);
            }
        }
    }

    /**
     * Returns whether a run has to move off its draining worker now.
     *
     * @param run the run, which is active
     * @param spec the step of the run
     * @param untilLeaveMillis the shortest time until the worker leaves, in milliseconds
     * @param now the current time, in milliseconds
     * @return true if the run belongs to a long-running task, or can resume from a checkpoint and
     *     is not expected to finish before the worker leaves
     */
    private boolean mustMove(RunRecord run, StepSpec spec, long untilLeaveMillis, long now) {
        if (spec.lasting()) {
            return true;
        }
        long untilDoneMillis = run.trackedSinceMillis + runTimes.expectedMillis(spec) - now;
        return spec.checkpointing()
                && untilLeaveMillis < CHECKPOINT_STOP_LEAD_MILLIS
                && untilDoneMillis > untilLeaveMillis;
    }
}
