package org.damasktiller.scheduler.cell;

import org.damasktiller.scheduler.model.StepSpec;
import org.damasktiller.scheduler.placement.FillerTolerance;
import org.damasktiller.scheduler.placement.LatenessTolerance;
import org.damasktiller.scheduler.placement.WaitingTolerance;
import org.damasktiller.scheduler.policy.Policy;
import org.damasktiller.scheduler.policy.PolicySet;

/**
 * Ranks the workers on which a task may start.
 *
 * <p>Load patterns: urgent tasks of different sizes, long-running tasks whose images tolerate
 * different fillers, input data on one rack, and fillers that use the CPU that serving tasks leave
 * idle.
 */
final class WorkerScorer {

    /** The score of a worker that is not selected. */
    static final double REJECTED = Double.MAX_VALUE;

    /**
     * The penalty for a worker on which an earlier run of the task failed or was too slow, or that
     * is suspect.
     */
    private static final double AVOIDED_WORKER_PENALTY = 1_000;

    /**
     * The penalty for a worker on which runs progress slowly, relative to the other terms of the
     * score.
     */
    private static final double SLOW_WORKER_PENALTY = 2;

    /**
     * The weight of the slowdown through input data on another rack, relative to the other terms of
     * the score.
     */
    private static final double REMOTE_DATA_WEIGHT = 10;

    /**
     * The weight of the filler load of a worker, relative to the predicted impact on serving tasks.
     */
    private static final double FILLER_LOAD_WEIGHT = 0.3;

    /**
     * The weight of the free CPU of a worker for long-running tasks, so that workers fill up one
     * after the other.
     */
    private static final double FREE_CPU_WEIGHT = 0.2;

    /**
     * The image mismatch of a worker without serving tasks: it ranks after a worker whose serving
     * tasks all have the image of the new task.
     */
    private static final double NO_SERVING_TASK_MISMATCH = 0.3;

    /**
     * How long a filler waits before it may start although it would disturb serving tasks or has to
     * share the idle CPU with others, in milliseconds.
     */
    private static final long FILLER_YIELD_MILLIS = 2_500;

    /**
     * The fraction of the CPU of a worker, fillers included, or of the reserved CPU of the cell,
     * below which it may do so.
     */
    private static final double IDLE_FRACTION = 0.5;

    /** The shared state of the cell's owner. */
    private final CellContext context;

    /** Predicts the impact of fillers on serving tasks. */
    private final FillerThrottle fillerThrottle;

    /** How much of the cell is reserved. */
    private final CellLoad cellLoad;

    /** The policies in force. */
    private final PolicySet policies;

    /** Decides how much a filler may disturb serving tasks. */
    private final FillerTolerance tolerance;

    /**
     * Creates a scorer.
     *
     * @param context the shared state of the cell's owner
     * @param fillerThrottle predicts the impact of fillers on serving tasks
     * @param cellLoad how much of the cell is reserved
     */
    WorkerScorer(CellContext context, FillerThrottle fillerThrottle, CellLoad cellLoad) {
        this.context = context;
        this.cellLoad = cellLoad;
        this.fillerThrottle = fillerThrottle;
        this.policies = context.settings.policies();
        this.tolerance =
                policies.isEnabled(Policy.LATE_FILLER_RESTRAINT)
                        ? new LatenessTolerance(new WaitingTolerance())
                        : new WaitingTolerance();
    }

    /**
     * Computes the score of a worker for a task; the lowest score wins.
     *
     * @param task the task
     * @param worker the worker
     * @return the score, or {@link #REJECTED} if the task must not start there now
     */
    double score(TaskRecord task, WorkerRecord worker) {
        StepSpec spec = task.step.spec;
        double penalty = penalty(task, worker);
        if (spec.filling()) {
            return penalty + fillerScore(task, worker);
        }
        double capacity = Math.max(1, worker.entry.capacity().cpuMillicores());
        double freeFraction = worker.freeResources().cpuMillicores() / capacity;
        if (spec.lasting()) {
            double mismatch =
                    policies.isEnabled(Policy.IMAGE_GROUPING)
                            ? imageMismatch(worker, spec.image())
                            : 0;
            return penalty + mismatch + FREE_CPU_WEIGHT * freeFraction;
        }
        return policies.isEnabled(Policy.GAP_PACKING)
                ? penalty + freeFraction
                : penalty - freeFraction;
    }

    /**
     * Computes the disadvantages of a worker that do not depend on the kind of work.
     *
     * @param task the task
     * @param worker the worker
     * @return the sum of the penalties
     */
    private double penalty(TaskRecord task, WorkerRecord worker) {
        StepSpec spec = task.step.spec;
        double penalty = 0;
        if (policies.isEnabled(Policy.RETRY_SPREADING)
                && task.avoidedWorkerIds.contains(worker.id)) {
            penalty += AVOIDED_WORKER_PENALTY;
        }
        if (worker.failureDetector.isSuspect(context.now())) {
            penalty += AVOIDED_WORKER_PENALTY;
        }
        if (policies.isEnabled(Policy.DATA_LOCALITY)
                && !spec.dataRack().isEmpty()
                && !worker.entry.labels().contains(spec.dataRack())) {
            penalty += REMOTE_DATA_WEIGHT * (context.settings.remoteFactor() - 1);
        }
        boolean slow = context.now() < worker.slowUntilMillis || worker.isCold(context.now());
        if (policies.isEnabled(Policy.SLOW_WORKER_AVOIDANCE) && slow) {
            penalty += SLOW_WORKER_PENALTY;
        }
        return penalty;
    }

    /**
     * Computes the score of a worker for a filler.
     *
     * @param task the task of the filler
     * @param worker the worker
     * @return the score, or {@link #REJECTED} if the filler would disturb serving tasks too much
     */
    private double fillerScore(TaskRecord task, WorkerRecord worker) {
        double fillerLoad =
                (double) worker.fillerMillicores() / Math.max(1, worker.idleMillicores());
        if (!policies.isEnabled(Policy.FILLER_ADMISSION)) {
            return fillerLoad;
        }
        double impact = fillerThrottle.predictImpact(worker, task.step.spec);
        return impact > allowedImpact(task) && !mayDisturb(task, worker)
                ? REJECTED
                : impact + FILLER_LOAD_WEIGHT * fillerLoad;
    }

    /**
     * Returns whether a filler may start on a worker whatever the prediction. Fillers are paused
     * where serving tasks are over their targets.
     *
     * @param task the task of the filler
     * @param worker the worker
     * @return whether it is starved, and less than half of the worker is in use or less than half
     *     of the cell is reserved
     */
    private boolean mayDisturb(TaskRecord task, WorkerRecord worker) {
        long usedMillicores = worker.reserved.cpuMillicores() + worker.fillerMillicores();
        boolean room =
                usedMillicores < IDLE_FRACTION * worker.entry.capacity().cpuMillicores()
                        || cellLoad.reservedFraction() < IDLE_FRACTION;
        return room && isStarved(task);
    }

    /**
     * Returns whether a filler is ready, and nothing of its submission has been active for some
     * time.
     *
     * @param task the task of the filler
     * @return whether it is starved
     */
    private boolean isStarved(TaskRecord task) {
        Job job = task.step.occurrence.job;
        return job.runCount == 0
                && task.readySinceMillis != 0
                && context.now() - Math.max(task.readySinceMillis, job.idleSinceMillis)
                        >= FILLER_YIELD_MILLIS;
    }

    /**
     * Returns whether a filler may start on a worker whose idle CPU does not suffice for it, or
     * whose fillers are paused: it is starved, and less than half of the cell is reserved. The CPU
     * of fillers does not count against the capacity of a worker.
     *
     * @param task the task of the filler
     * @return whether it may share the CPU that is left with the other fillers
     */
    boolean mayShareIdleCpu(TaskRecord task) {
        return cellLoad.reservedFraction() < IDLE_FRACTION && isStarved(task);
    }

    /**
     * Returns the impact on serving tasks that a filler may have.
     *
     * @param task the task of the filler
     * @return the allowed impact, as a number of serving tasks pushed over their target
     */
    private double allowedImpact(TaskRecord task) {
        long waitedMillis = task.readySinceMillis == 0 ? 0 : context.now() - task.readySinceMillis;
        return tolerance.allowedImpact(task.step.lateness, waitedMillis);
    }

    /**
     * Returns the fraction of a worker's serving tasks that run another image. Tasks of one image
     * tolerate the same fillers, so a worker whose serving tasks all have one image can run fillers
     * that harm none of them.
     *
     * @param worker the worker
     * @param image the image of the task to place
     * @return the fraction, or {@link #NO_SERVING_TASK_MISMATCH} if the worker has no serving task
     */
    private static double imageMismatch(WorkerRecord worker, String image) {
        int serving = 0;
        int otherImages = 0;
        for (RunRecord run : worker.runs.values()) {
            if (run.isServing() && run.task != null) {
                serving++;
                otherImages += run.task.step.spec.image().equals(image) ? 0 : 1;
            }
        }
        return serving == 0 ? NO_SERVING_TASK_MISMATCH : (double) otherImages / serving;
    }
}
