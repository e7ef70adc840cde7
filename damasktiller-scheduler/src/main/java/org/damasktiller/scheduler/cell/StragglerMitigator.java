package org.damasktiller.scheduler.cell;

import java.util.ArrayList;
import org.damasktiller.scheduler.estimate.RunTimeEstimator;
import org.damasktiller.scheduler.model.StepSpec;
import org.damasktiller.scheduler.policy.Policy;

/**
 * Detects runs that progress far more slowly than expected, and moves them to other workers.
 *
 * <p>Load pattern: runs hang on some workers, and other workers are slow. A step is done when its
 * last task is done, so that a single straggler delays the whole step. Fillers that are throttled
 * to protect serving tasks are not moved, nor are runs on workers that are slow after their start.
 */
final class StragglerMitigator {

    /**
     * The length of a window over which the progress of a run is measured, in milliseconds: three
     * polls.
     */
    private static final long WINDOW_MILLIS = 1_500;

    /**
     * The time that a run may take to start and read its checkpoint before it is measured, in
     * milliseconds.
     */
    private static final long WARM_UP_MILLIS = 1_200;

    /** The overhead of a move in milliseconds: stopping, starting, and reading the checkpoint. */
    private static final long MOVE_OVERHEAD_MILLIS = 1_500;

    /**
     * The minimum ratio of the remaining time without a move to that with a move. Estimates of run
     * times are inaccurate.
     */
    private static final double MIN_SPEEDUP = 2;

    /**
     * The minimum progress rate used in estimates, so that the remaining time of a hanging run is
     * finite.
     */
    private static final double MIN_RATE = 0.02;

    /** The progress rate of a run below which its worker counts as slow. */
    private static final double SLOW_RATE = 0.5;

    /**
     * How long a slow worker is chosen after other workers, in milliseconds: the time until its
     * runs are measured again.
     */
    private static final long SLOW_WORKER_MILLIS = 2_500;

    /** The maximum number of moves of one task. */
    private static final int MAX_MOVES_PER_TASK = 2;

    /**
     * The maximum number of runs that are being moved at a time, as a fraction of the number of
     * workers.
     */
    private static final double MAX_MOVING_FRACTION = 0.15;

    /** The number of runs that may be moved at a time in a cell with few workers. */
    private static final int MIN_MOVING_LIMIT = 2;

    /** The progress of a finished run, in percent. */
    private static final double COMPLETE_PERCENT = 100;

    /** The shared state of the cell's owner. */
    private final CellContext context;

    /** Selects the worker that takes over a task. */
    private final WorkerSelector workerSelector;

    /** Stops the runs to move. */
    private final RunRequestSender requestSender;

    /** Estimates run times. */
    private final RunTimeEstimator runTimes;

    /**
     * Creates a mitigator for the runs of a cell.
     *
     * @param context the shared state of the cell's owner
     * @param workerSelector selects the worker that takes over a task
     * @param requestSender stops the runs to move
     * @param runTimes estimates run times
     */
    StragglerMitigator(
            CellContext context,
            WorkerSelector workerSelector,
            RunRequestSender requestSender,
            RunTimeEstimator runTimes) {
        this.context = context;
        this.workerSelector = workerSelector;
        this.requestSender = requestSender;
        this.runTimes = runTimes;
    }

    /**
     * Measures the progress of the runs of a worker after a poll, and moves stragglers.
     *
     * @param worker the worker that answered the poll
     */
    void evaluate(WorkerRecord worker) {
        long now = context.now();
        if (worker.isCold(now)) {
            return;
        }
        for (RunRecord run : new ArrayList<>(worker.runs.values())) {
            TaskRecord task = run.task;
            if (run.phase == RunPhase.RUNNING && task != null && isMeasurable(task.step.spec)) {
                updateProgressRate(run, task.step.spec, now);
                if (context.settings.policies().isEnabled(Policy.STRAGGLER_MOVES)
                        && isWorthMoving(run, task)
                        && mayMove()) {
                    move(run, task);
                }
            }
        }
    }

    /**
     * Updates the progress rate of a run at the end of each window.
     *
     * @param run the run
     * @param spec the step of its task
     * @param now the current time, in milliseconds
     */
    private void updateProgressRate(RunRecord run, StepSpec spec, long now) {
        if (run.isFiller() && run.wantedCpuLimitPercent < RunRecord.FULL_PERCENT) {
            run.windowStartMillis = RunRecord.UNKNOWN;
            run.progressRate = 1;
            return;
        }
        if (run.windowStartMillis == RunRecord.UNKNOWN) {
            if (run.progressPercent > 0 || now - run.trackedSinceMillis >= WARM_UP_MILLIS) {
                run.beginWindow(now);
            }
            return;
        }
        long windowMillis = now - run.windowStartMillis;
        if (windowMillis < WINDOW_MILLIS) {
            return;
        }
        double millisPerPercent = runTimes.expectedMillis(spec) / COMPLETE_PERCENT;
        run.progressRate =
                (run.progressPercent - run.windowStartPercent) * millisPerPercent / windowMillis;
        run.beginWindow(now);
        if (!spec.filling() && run.progressRate < SLOW_RATE) {
            run.worker.slowUntilMillis = now + SLOW_WORKER_MILLIS;
        }
    }

    /**
     * Returns whether the run time of a step's tasks can be estimated, and its tasks may be moved
     * one by one.
     *
     * @param spec the step
     * @return whether its runs are measured
     */
    private static boolean isMeasurable(StepSpec spec) {
        return !spec.lasting() && !spec.gang() && spec.estimateMillis() > 0;
    }

    /**
     * Returns whether a run would finish far sooner on another worker.
     *
     * @param run the run
     * @param task its task
     * @return whether moving the run pays off and the task has moves left
     */
    private boolean isWorthMoving(RunRecord run, TaskRecord task) {
        if (task.moveCount >= MAX_MOVES_PER_TASK) {
            return false;
        }
        StepSpec spec = task.step.spec;
        double fullRunMillis = runTimes.expectedMillis(spec);
        double remainingMillis =
                fullRunMillis * (COMPLETE_PERCENT - run.progressPercent) / COMPLETE_PERCENT;
        double stayMillis = remainingMillis / Math.max(MIN_RATE, run.progressRate);
        return stayMillis
                > MIN_SPEEDUP
                        * (MOVE_OVERHEAD_MILLIS
                                + (spec.checkpointing() ? remainingMillis : fullRunMillis));
    }

    /**
     * Returns whether one more run may be moved. The limit keeps a fault of all workers from moving
     * most runs at once.
     *
     * @return whether fewer runs than the limit are being moved
     */
    private boolean mayMove() {
        int moving = 0;
        for (WorkerRecord worker : context.allWorkers()) {
            for (RunRecord run : worker.runs.values()) {
                if (run.moving) {
                    moving++;
                }
            }
        }
        return moving < Math.max(MIN_MOVING_LIMIT, context.workers.size() * MAX_MOVING_FRACTION);
    }

    /**
     * Moves a run if another worker can take its task now: stops the run, after which its task
     * waits for a start.
     *
     * @param run the run
     * @param task its task
     */
    private void move(RunRecord run, TaskRecord task) {
        boolean alreadyAvoided = !task.avoidedWorkerIds.add(run.worker.id);
        WorkerRecord other = workerSelector.selectWorker(task);
        if (other == null || other == run.worker) {
            if (!alreadyAvoided) {
                task.avoidedWorkerIds.remove(run.worker.id);
            }
            return;
        }
        task.moveCount++;
        run.moving = true;
        context.log.log(
                "run.move",
                "task",
                run.taskId,
                "run",
                run.runNumber,
                "worker",
                run.worker.id,
                "progress",
                run.progressPercent,
                "rate",
                run.progressRate,
                "percent",
                run.cpuLimitPercent);
        requestSender.stop(run);
    }
}
