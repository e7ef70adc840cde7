package org.damasktiller.scheduler.cell;

import java.util.ArrayList;
import org.damasktiller.scheduler.model.StepSpec;

/**
 * Finds runs that get on far more slowly than their size says, and moves them. Load pattern: tasks
 * stand still on some workers, and some workers are slow; a step is done when its last task is, so
 * that one such run holds up all of it. Fillers that are slowed for serving tasks stay.
 */
final class StragglerControl {

    /** The time over which the progress of a run is measured, in milliseconds: three looks. */
    private static final long WINDOW_MILLIS = 1_500;

    /** How long a run may take until it gets on: a start, and reading its saved progress. */
    private static final long WARM_UP_MILLIS = 1_200;

    /** What a move costs beside the work: a stop, a start, and reading the saved progress. */
    private static final long MOVE_MILLIS = 1_500;

    /** How many times as long staying must take as moving, since the sizes are rough. */
    private static final double GAIN = 2;

    /** The least rate that is believed, so that a run that stands still has a time left. */
    private static final double LEAST_RATE = 0.02;

    /** The rate from which on a worker counts as slow. */
    private static final double SLOW_RATE = 0.5;

    /** For how long a slow worker is taken last, in milliseconds: the time until it is measured. */
    private static final long SLOW_MILLIS = 2_500;

    /** How often a task is moved at most. */
    private static final int MOST_MOVES = 2;

    /** The most moves that are under way at a time, as a part of the workers. */
    private static final double MOVING_PART = 0.15;

    /** The number of moves that may be under way however few workers there are. */
    private static final int LEAST_MOVING = 2;

    /** The full progress, in percent. */
    private static final double FULL_PERCENT = 100;

    /** The shared part. */
    private final CellContext context;

    /** Tells whether another worker would take a task. */
    private final Placement placement;

    /** Sends the orders. */
    private final RunOrders orders;

    /** The expected run times. */
    private final RunTimes runTimes;

    /**
     * Creates the control.
     *
     * @param context the shared part
     * @param placement tells whether another worker would take a task
     * @param orders sends the orders
     * @param runTimes the expected run times
     */
    StragglerControl(
            CellContext context, Placement placement, RunOrders orders, RunTimes runTimes) {
        this.context = context;
        this.placement = placement;
        this.orders = orders;
        this.runTimes = runTimes;
    }

    /**
     * Judges the runs of a worker after a look.
     *
     * @param worker the worker
     */
    void judge(WorkerRecord worker) {
        long now = context.now();
        for (RunRecord run : new ArrayList<>(worker.runs.values())) {
            TaskRecord task = run.task;
            if (run.phase == RunPhase.RUNNING && task != null && sized(task.step.spec)) {
                measure(run, task.step.spec, now);
                if (gain(run, task) && mayMove()) {
                    move(run, task);
                }
            }
        }
    }

    /**
     * Measures a run at the end of each window.
     *
     * @param run the run
     * @param spec its step
     * @param now the time, in milliseconds
     */
    private void measure(RunRecord run, StepSpec spec, long now) {
        if (run.filling() && run.wantedPercent < RunRecord.FULL_PERCENT) {
            run.windowBeganMillis = RunRecord.UNKNOWN;
            run.rate = 1;
            return;
        }
        if (run.windowBeganMillis == RunRecord.UNKNOWN) {
            if (run.progressPercent > 0 || now - run.sinceMillis >= WARM_UP_MILLIS) {
                run.beginWindow(now);
            }
            return;
        }
        long span = now - run.windowBeganMillis;
        if (span < WINDOW_MILLIS) {
            return;
        }
        double work = runTimes.expectedMillis(spec) / FULL_PERCENT;
        run.rate = (run.progressPercent - run.windowPercent) * work / span;
        run.beginWindow(now);
        if (!spec.filling() && run.rate < SLOW_RATE) {
            run.worker.slowUntilMillis = now + SLOW_MILLIS;
        }
    }

    /**
     * Tells whether the tasks of a step have a size by which their progress can be judged.
     *
     * @param spec the step
     * @return whether they have
     */
    private static boolean sized(StepSpec spec) {
        return !spec.lasting() && !spec.gang() && spec.estimateMillis() > 0;
    }

    /**
     * Tells whether a run would be done far sooner elsewhere.
     *
     * @param run the run
     * @param task its task
     * @return whether it would
     */
    private boolean gain(RunRecord run, TaskRecord task) {
        if (task.moves >= MOST_MOVES) {
            return false;
        }
        StepSpec spec = task.step.spec;
        double whole = runTimes.expectedMillis(spec);
        double left = whole * (FULL_PERCENT - run.progressPercent) / FULL_PERCENT;
        double staying = left / Math.max(LEAST_RATE, run.rate);
        return staying > GAIN * (MOVE_MILLIS + (spec.checkpointing() ? left : whole));
    }

    /**
     * Tells whether one more run may be moved, so that a fault of all workers moves few.
     *
     * @return whether one may
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
        return moving < Math.max(LEAST_MOVING, context.workers.size() * MOVING_PART);
    }

    /**
     * Moves a run if another worker takes it now.
     *
     * @param run the run
     * @param task its task
     */
    private void move(RunRecord run, TaskRecord task) {
        boolean avoidedBefore = !task.failedAt.add(run.worker.id);
        WorkerRecord other = placement.choose(task);
        if (other == null || other == run.worker) {
            if (!avoidedBefore) {
                task.failedAt.remove(run.worker.id);
            }
            return;
        }
        task.moves++;
        run.moving = true;
        context.log.log(
                "run.move",
                "task",
                run.id,
                "run",
                run.run,
                "worker",
                run.worker.id,
                "progress",
                run.progressPercent,
                "rate",
                run.rate,
                "percent",
                run.percent);
        orders.stop(run);
    }
}
