package org.damasktiller.scheduler.cell;

import java.util.ArrayList;
import java.util.Collections;
import java.util.Comparator;
import java.util.List;
import org.jspecify.annotations.Nullable;

/**
 * Selects the workers for tasks that may crash them.
 *
 * <p>Load pattern: a task takes down its worker and all other runs there each time that it starts.
 * Until a sound run shows that a suspect is not such a task, it runs where its crash would harm
 * least, and only few suspects run at a time. Where every worker gets starts all the time, one is
 * held for a suspect that has waited long.
 *
 * <p>Load pattern: many workers crash at the same time for reasons of their own, several times, so
 * that most tasks become suspect. Those that are suspect for nothing else share workers with each
 * other, on up to half of the workers. One that has waited long in a cell that is less than half
 * full may use a further worker, as long as some are left without suspects.
 */
final class SuspectPlacement {

    /** One worker in this many may run a suspect task alone at the same time. */
    private static final int WORKERS_PER_SUSPECT = 8;

    /**
     * One worker in this many may be shared by suspect tasks at the same time, or run one alone
     * that has waited long.
     */
    private static final int WORKERS_PER_SHARED_WORKER = 2;

    /** The number of workers that may run suspect tasks at the same time in a small cell. */
    private static final int MIN_SUSPECT_WORKERS = 2;

    /**
     * How long a suspect task waits before it may start beside long-running tasks, and while other
     * suspects have as many workers as they get at once, in milliseconds. One that shares workers
     * waits as long for a worker beyond those.
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

    /** The preference of the worker for which the start of a task is recorded. */
    private static final double RECORDED = -1;

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

    /** The tasks that were assigned to a worker in this pass. */
    private final SuspectAssignments assignments = new SuspectAssignments();

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

    /** Begins a pass: what was assigned in the last one has started, or is assigned anew. */
    void beginPass() {
        assignments.clear();
    }

    /**
     * Selects the worker for a task that may crash it: one that it may share, or the one whose loss
     * harms least. No other run there may have started a short time ago, so that a crash has a
     * single likely cause.
     *
     * @param task the task
     * @return the worker, or null if none is eligible
     */
    @Nullable WorkerRecord selectWorker(TaskRecord task) {
        Quarantine quarantine = Quarantine.of(task.crashes);
        boolean mayQuarantine = mayQuarantineWorker(task, quarantine);
        List<WorkerRecord> candidates = candidates(task);
        WorkerRecord best = null;
        double leastHarm = Double.MAX_VALUE;
        for (WorkerRecord worker : candidates) {
            boolean shareable = assignments.isShareable(worker, quarantine);
            if (hasRecentStart(worker, quarantine) || !(shareable || mayQuarantine)) {
                continue;
            }
            double harm = shareable ? 0 : 1 + harmOfLoss(worker);
            if (isRecordedFor(task, worker)) {
                harm = RECORDED;
            }
            if (harm < leastHarm) {
                best = worker;
                leastHarm = harm;
            }
        }
        if (best != null) {
            assignments.add(best, quarantine, task.step.spec.reserved());
        } else if (mayQuarantine && context.now() - task.crashedAtMillis >= HOLD_PATIENCE_MILLIS) {
            holdOneOf(candidates, task);
        }
        return best;
    }

    /**
     * Returns whether the start of a task on a worker is recorded or about to be.
     *
     * @param task the task
     * @param worker the worker
     * @return whether it is
     */
    private static boolean isRecordedFor(TaskRecord task, WorkerRecord worker) {
        return task.recordedStart != null && task.recordedStart.worker().equals(worker.id);
    }

    /**
     * Returns whether one more worker may be quarantined for a task. The limit rises once the task
     * has waited long, so that many suspects do not wait for each other without an end.
     *
     * @param task the task
     * @param quarantine its quarantine
     * @return whether fewer workers than allowed have it
     */
    private boolean mayQuarantineWorker(TaskRecord task, Quarantine quarantine) {
        long sinceMillis = Math.max(task.crashedAtMillis, context.term.startedAtMillis());
        boolean waitedLong = context.now() - sinceMillis >= SUSPECT_PATIENCE_MILLIS;
        int workersPerQuarantined =
                quarantine == Quarantine.SHARED || waitedLong
                        ? WORKERS_PER_SHARED_WORKER
                        : WORKERS_PER_SUSPECT;
        int limit = Math.max(MIN_SUSPECT_WORKERS, context.workers.size() / workersPerQuarantined);
        long count =
                context.allWorkers().stream()
                        .filter(worker -> assignments.quarantineOf(worker) == quarantine)
                        .count();
        return count < limit || mayUseFurtherWorker(task, quarantine);
    }

    /**
     * Returns whether a task may use a worker beyond those that suspects get at once. Tasks that
     * need most of a worker don't fit beside each other, so that their number of workers is not
     * bounded by the room that they use.
     *
     * @param task the task
     * @param quarantine its quarantine
     * @return whether it shares workers, has waited long although most of the room is free, and
     *     enough workers are left for tasks that are not suspect
     */
    private boolean mayUseFurtherWorker(TaskRecord task, Quarantine quarantine) {
        if (quarantine != Quarantine.SHARED
                || !workerSelector.hasWaitedDespiteRoom(task, SUSPECT_PATIENCE_MILLIS)) {
            return false;
        }
        long now = context.now();
        long openCount =
                context.allWorkers().stream()
                        .filter(worker -> worker.isUsable(now))
                        .filter(worker -> assignments.quarantineOf(worker) == Quarantine.NONE)
                        .count();
        return openCount
                > Math.max(MIN_SUSPECT_WORKERS, context.workers.size() / WORKERS_PER_SUSPECT);
    }

    /**
     * Lists the workers that a suspect task may run on, whatever has started there.
     *
     * @param task the task
     * @return the workers with room that are eligible
     */
    private List<WorkerRecord> candidates(TaskRecord task) {
        Quarantine quarantine = Quarantine.of(task.crashes);
        boolean waitedLong = context.now() - task.crashedAtMillis >= SUSPECT_PATIENCE_MILLIS;
        boolean ticketRequired = advice.isRequired(task.step);
        List<WorkerRecord> candidates = new ArrayList<>();
        for (WorkerRecord worker : context.allWorkers()) {
            boolean shareable = assignments.isShareable(worker, quarantine);
            boolean available =
                    !assignments.contains(worker)
                            && (waitedLong || worker.longRunningMillicores() == 0);
            if ((shareable || available)
                    && worker.hasRoomFor(assignments.needWith(worker, task.step.spec.reserved()))
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
     * @param quarantine the quarantine of the task that is to start
     * @return whether a run is not known to be sound, and is none that the task may join
     */
    private static boolean hasRecentStart(WorkerRecord worker, Quarantine quarantine) {
        for (RunRecord run : worker.runs.values()) {
            boolean joinable =
                    quarantine == Quarantine.SHARED && run.quarantine == Quarantine.SHARED;
            if (!joinable && !CommonCauseDetector.isSound(run)) {
                return true;
            }
        }
        return quarantine != Quarantine.SHARED && worker.startsInFlight > 0;
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
