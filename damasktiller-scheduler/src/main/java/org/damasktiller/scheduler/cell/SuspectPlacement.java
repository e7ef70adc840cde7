package org.damasktiller.scheduler.cell;

import org.damasktiller.scheduler.model.Resources;
import org.jspecify.annotations.Nullable;

/**
 * Selects the workers for tasks that may crash them.
 *
 * <p>Load pattern: a task takes down its worker and all other runs there each time that it starts.
 * Until a sound run shows that a suspect is not such a task, it runs where its crash would harm
 * least, and only few suspects run at a time.
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
        boolean waitedLong = context.now() - task.crashedAtMillis >= SUSPECT_PATIENCE_MILLIS;
        WorkerRecord best = null;
        double leastHarm = Double.MAX_VALUE;
        boolean ticketRequired = advice.isRequired(task.step);
        Resources need = task.step.spec.reserved();
        for (WorkerRecord worker : context.allWorkers()) {
            boolean mayTakeSuspect =
                    worker.startsInFlight == 0
                            && (waitedLong || worker.longRunningMillicores() == 0)
                            && worker.runs.values().stream().allMatch(CommonCauseDetector::isSound);
            if (!mayTakeSuspect
                    || !worker.hasRoomFor(need)
                    || !workerSelector.isEligible(task, worker, ticketRequired)) {
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
        return best;
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
