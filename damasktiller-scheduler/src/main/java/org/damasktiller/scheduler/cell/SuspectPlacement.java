package org.damasktiller.scheduler.cell;

import java.util.ArrayList;
import java.util.Collections;
import java.util.Comparator;
import java.util.List;
import org.damasktiller.scheduler.model.Resources;
import org.jspecify.annotations.Nullable;

/**
 * Selects the workers for tasks that may crash them.
 *
 * <p>Load pattern: a task takes down its worker and all other runs there each time that it starts.
 * Until a sound run shows that a suspect is not such a task, it runs where its crash would harm
 * least, and only few suspects run at a time. Where every worker gets starts all the time, one is
 * held for a suspect that has waited long.
 */
final class SuspectPlacement {

    /** The number of workers per worker that may run a suspect task at the same time. */
    private static final int WORKERS_PER_SUSPECT = 8;

    /** The number of workers that may run suspect tasks at the same time in a small cell. */
    private static final int MIN_SUSPECT_WORKERS = 2;

    /**
     * How long a suspect task waits before it may start beside long-running tasks, in milliseconds.
     */
    private static final long SUSPECT_PATIENCE_MILLIS = 5_000;

    /**
     * How long a suspect task waits for a worker without recent starts before one is held for it,
     * in milliseconds.
     */
    private static final long HOLD_PATIENCE_MILLIS = 6_000;

    /**
     * How long a worker is held for a suspect task at a time, in milliseconds: until the runs that
     * have started there last are known not to crash it.
     */
    private static final long HOLD_MILLIS = 1_500;

    /** The harm done by the loss of a long-running task, relative to that of an urgent one. */
    private static final double LONG_RUNNING_HARM = 10;

    /** The harm done by the loss of a filler, relative to that of an urgent task. */
    private static final double FILLER_HARM = 0.5;

    /** The shared state of the cell's owner. */
    private final CellContext context;

    /** Decides which workers may get a task. */
    private final WorkerSelector workerSelector;

    /** Holds the tickets for routes that need advice. */
    private final AdviceTicketProvider advice;

    /**
     * Creates a placement for the tasks of a cell.
     *
     * @param context the shared state of the cell's owner
     * @param workerSelector decides which workers may get a task
     * @param advice holds the tickets for routes that need advice
     */
    SuspectPlacement(
            CellContext context, WorkerSelector workerSelector, AdviceTicketProvider advice) {
        this.context = context;
        this.workerSelector = workerSelector;
        this.advice = advice;
    }

    /**
     * Selects the worker for a task that may crash it: the one whose loss harms least. No other run
     * there may have started a short time ago, so that a crash has a single likely cause.
     *
     * @param task the task
     * @return the worker, or null if none is eligible
     */
    @Nullable WorkerRecord selectWorker(TaskRecord task) {
        int limit = Math.max(MIN_SUSPECT_WORKERS, context.workers.size() / WORKERS_PER_SUSPECT);
        if (context.allWorkers().stream().filter(WorkerRecord::isQuarantined).count() >= limit) {
            return null;
        }
        List<WorkerRecord> candidates = candidates(task);
        WorkerRecord best = null;
        double leastHarm = Double.MAX_VALUE;
        for (WorkerRecord worker : candidates) {
            if (hasRecentStart(worker)) {
                continue;
            }
            if (task.recordedStart != null && task.recordedStart.worker().equals(worker.id)) {
                return worker;
            }
            double harm = harmOfLoss(worker);
            if (harm < leastHarm) {
                best = worker;
                leastHarm = harm;
            }
        }
        if (best == null && context.now() - task.crashedAtMillis >= HOLD_PATIENCE_MILLIS) {
            holdOneOf(candidates, task);
        }
        return best;
    }

    /**
     * Lists the workers that a suspect task may run on, whatever has started there.
     *
     * @param task the task
     * @return the workers with room that are eligible
     */
    private List<WorkerRecord> candidates(TaskRecord task) {
        boolean waitedLong = context.now() - task.crashedAtMillis >= SUSPECT_PATIENCE_MILLIS;
        boolean ticketRequired = advice.isRequired(task.step);
        Resources need = task.step.spec.reserved();
        List<WorkerRecord> candidates = new ArrayList<>();
        for (WorkerRecord worker : context.allWorkers()) {
            if ((waitedLong || worker.longRunningMillicores() == 0)
                    && worker.hasRoomFor(need)
                    && workerSelector.isEligible(task, worker, ticketRequired)) {
                candidates.add(worker);
            }
        }
        return candidates;
    }

    /**
     * Returns whether a run on a worker is so recent that it might be the cause of a crash there.
     *
     * @param worker the worker
     * @return whether a start is in flight or a run is not known to be sound
     */
    private static boolean hasRecentStart(WorkerRecord worker) {
        return worker.startsInFlight > 0
                || !worker.runs.values().stream().allMatch(CommonCauseDetector::isSound);
    }

    /**
     * Holds the worker whose loss harms least for a suspect task, unless one is held already.
     *
     * @param candidates the workers on which the task may run
     * @param task the task
     */
    private void holdOneOf(List<WorkerRecord> candidates, TaskRecord task) {
        long now = context.now();
        boolean held =
                candidates.stream().anyMatch(worker -> worker.suspectHold.isFor(task.id, now));
        if (held || candidates.isEmpty()) {
            return;
        }
        WorkerRecord worker =
                Collections.min(
                        candidates, Comparator.comparingDouble(SuspectPlacement::harmOfLoss));
        worker.suspectHold.hold(task.id, now + HOLD_MILLIS);
        context.log.log(
                "worker.held",
                "worker",
                worker.id,
                "task",
                task.id,
                "waited",
                now - task.readySinceMillis);
    }

    /**
     * Estimates the harm that the loss of a worker would do.
     *
     * @param worker the worker
     * @return the sum over its runs
     */
    private static double harmOfLoss(WorkerRecord worker) {
        double harm = 0;
        for (RunRecord run : worker.runs.values()) {
            if (run.isLongRunning()) {
                harm += LONG_RUNNING_HARM;
            } else {
                harm += run.isFiller() ? FILLER_HARM : 1;
            }
        }
        return harm;
    }
}
