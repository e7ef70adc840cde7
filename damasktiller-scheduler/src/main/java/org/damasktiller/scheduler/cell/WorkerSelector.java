package org.damasktiller.scheduler.cell;

import java.util.ArrayList;
import java.util.List;
import org.damasktiller.scheduler.model.Resources;
import org.damasktiller.scheduler.model.StepSpec;
import org.damasktiller.scheduler.placement.ReserveCandidate;
import org.damasktiller.scheduler.placement.UrgentReserve;
import org.jspecify.annotations.Nullable;

/**
 * Selects the workers on which tasks start.
 *
 * <p>Load patterns: tasks of different sizes with free capacity fragmented over many workers, steps
 * that must spread over workers, input data on one rack, and fillers that use the CPU that serving
 * tasks leave idle.
 */
final class WorkerSelector {

    /** The maximum number of start requests in flight to one worker; connections are billed. */
    private static final int MAX_STARTS_IN_FLIGHT = 6;

    /**
     * The maximum number of start requests in flight to a worker that is cold, so that a zone that
     * returns fills gradually.
     */
    private static final int MAX_COLD_STARTS_IN_FLIGHT = 2;

    /** The penalty for a worker on which an earlier run of the task failed or was too slow. */
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

    /** The score of a worker that is not selected. */
    private static final double REJECTED_SCORE = Double.MAX_VALUE;

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
     * The impact that a filler may have if it has not waited, in serving tasks pushed over their
     * target.
     */
    private static final double INITIAL_ALLOWED_IMPACT = 0.2;

    /** The increase of the allowed impact for each second that a filler waits, in serving tasks. */
    private static final double ALLOWED_IMPACT_PER_SECOND = 0.15;

    /** The number of milliseconds in a second. */
    private static final double MILLIS_PER_SECOND = 1_000;

    /** The time between two updates of the reserve for urgent tasks, in milliseconds. */
    private static final long RESERVE_UPDATE_MILLIS = 250;

    /**
     * How long a new long-running task waits before it may use the reserve for urgent tasks, in
     * milliseconds.
     */
    private static final long RESERVE_YIELD_MILLIS = 1_500;

    /** The fraction of the CPU in use below which long-running tasks may use the reserve. */
    private static final double RESERVE_YIELD_FRACTION = 0.5;

    /** The time of an event that has not happened. */
    private static final long NEVER = -1;

    /** The shared state of the cell's owner. */
    private final CellContext context;

    /** Predicts the impact of fillers on serving tasks. */
    private final FillerThrottle fillerThrottle;

    /** Holds the tickets for routes that need advice. */
    private final AdviceTicketProvider advice;

    /** Keeps room for large tasks. */
    private final LookAheadPlacement lookAhead;

    /** The workers that are kept free of new long-running tasks. */
    private final UrgentReserve urgentReserve = new UrgentReserve();

    /** When the reserve was last updated, in milliseconds, or {@link #NEVER}. */
    private long reserveUpdatedAtMillis = NEVER;

    /** The fraction of the CPU of usable workers that was reserved when it was last updated. */
    private double reservedFraction = 1;

    /**
     * Creates a selector of workers.
     *
     * @param context the shared state of the cell's owner
     * @param fillerThrottle predicts the impact of fillers on serving tasks
     * @param advice holds the tickets for routes that need advice
     * @param lookAhead keeps room for large tasks
     */
    WorkerSelector(
            CellContext context,
            FillerThrottle fillerThrottle,
            AdviceTicketProvider advice,
            LookAheadPlacement lookAhead) {
        this.context = context;
        this.lookAhead = lookAhead;
        this.advice = advice;
        this.fillerThrottle = fillerThrottle;
    }

    /**
     * Adapts the reserve for urgent tasks to their demand, unless it was adapted recently.
     *
     * @param waitingMillicores the CPU that waiting urgent tasks need, in millicores
     */
    void updateUrgentReserve(long waitingMillicores) {
        long now = context.now();
        if (reserveUpdatedAtMillis != NEVER
                && now - reserveUpdatedAtMillis < RESERVE_UPDATE_MILLIS) {
            return;
        }
        reserveUpdatedAtMillis = now;
        long urgentMillicores = waitingMillicores;
        long capacity = 0;
        long reserved = 0;
        List<ReserveCandidate> candidates = new ArrayList<>();
        for (WorkerRecord worker : context.allWorkers()) {
            urgentMillicores += worker.reserved.cpuMillicores() - worker.longRunningMillicores();
            if (context.mayStartOn(worker, now)) {
                capacity += worker.entry.capacity().cpuMillicores();
                reserved += worker.reserved.cpuMillicores();
                candidates.add(
                        new ReserveCandidate(
                                worker.id,
                                worker.entry.capacity().cpuMillicores(),
                                worker.longRunningMillicores()));
            }
        }
        reservedFraction = capacity == 0 ? 1 : (double) reserved / capacity;
        int sizeBefore = urgentReserve.size();
        urgentReserve.update(candidates, urgentMillicores, now);
        if (urgentReserve.size() != sizeBefore) {
            context.log.log(
                    "reserve.changed",
                    "cell",
                    context.cell,
                    "workers",
                    urgentReserve.size(),
                    "before",
                    sizeBefore,
                    "of",
                    candidates.size(),
                    "urgentMillicores",
                    urgentMillicores);
        }
    }

    /**
     * Selects the worker with the lowest score for a task.
     *
     * @param task the task
     * @return the worker, or null if none is eligible and has enough free resources
     */
    @Nullable WorkerRecord selectWorker(TaskRecord task) {
        WorkerRecord best = null;
        double bestScore = REJECTED_SCORE;
        boolean ticketRequired = advice.isRequired(task.step);
        Resources need = task.step.spec.reserved();
        for (WorkerRecord worker : context.allWorkers()) {
            if (!worker.hasRoomFor(need)
                    || !isEligible(task, worker, ticketRequired)
                    || !lookAhead.admits(task, worker)) {
                continue;
            }
            double score = score(task, worker);
            if (score < bestScore) {
                best = worker;
                bestScore = score;
            }
        }
        return best;
    }

    /**
     * Returns whether a task may start on a worker, apart from the resources that it reserves.
     *
     * @param task the task
     * @param worker the worker
     * @param ticketRequired whether the task needs a ticket of the advice service for the worker
     * @return whether the worker is eligible
     */
    boolean isEligible(TaskRecord task, WorkerRecord worker, boolean ticketRequired) {
        return judge(task, worker, ticketRequired) == PlacementVerdict.ELIGIBLE;
    }

    /**
     * Returns why a task may or may not start on a worker, apart from the resources that it
     * reserves.
     *
     * @param task the task
     * @param worker the worker
     * @param ticketRequired whether the task needs a ticket of the advice service for the worker
     * @return the first rule that refuses, or {@link PlacementVerdict#ELIGIBLE}
     */
    private PlacementVerdict judge(TaskRecord task, WorkerRecord worker, boolean ticketRequired) {
        long now = context.now();
        if (!worker.isUsable(now)) {
            return PlacementVerdict.NOT_USABLE;
        }
        if (!context.mayStartOn(worker, now)) {
            return PlacementVerdict.ZONE_CLOSED;
        }
        if (!acceptsStarts(worker)) {
            return PlacementVerdict.BUSY;
        }
        if (!hasRequiredLabel(task.step.spec, worker)) {
            return PlacementVerdict.LABEL_MISSING;
        }
        if (worker.failureDetector.isOnProbation() && !worker.runs.isEmpty()) {
            return PlacementVerdict.ON_PROBATION;
        }
        if (ticketRequired && advice.usableTicket(task.step, worker).isEmpty()) {
            return PlacementVerdict.NO_TICKET;
        }
        if (!isBelowWorkerLimit(task.step, worker)) {
            return PlacementVerdict.STEP_LIMIT;
        }
        return hasEnoughCpu(task, worker) ? PlacementVerdict.ELIGIBLE : PlacementVerdict.NO_CPU;
    }

    /**
     * Returns why {@link #selectWorker} may or may not choose a worker for a task.
     *
     * @param task the task
     * @param worker the worker
     * @return the first rule that refuses, or {@link PlacementVerdict#ELIGIBLE}
     */
    PlacementVerdict explain(TaskRecord task, WorkerRecord worker) {
        PlacementVerdict verdict = judge(task, worker, advice.isRequired(task.step));
        if (verdict != PlacementVerdict.ELIGIBLE) {
            return verdict;
        }
        if (!worker.hasRoomFor(task.step.spec.reserved())) {
            return PlacementVerdict.NO_ROOM;
        }
        if (!lookAhead.admits(task, worker)) {
            return PlacementVerdict.ROOM_KEPT;
        }
        return score(task, worker) == REJECTED_SCORE
                ? PlacementVerdict.WOULD_DISTURB
                : PlacementVerdict.ELIGIBLE;
    }

    /**
     * Returns whether a usable worker may get one more start now, whatever the task.
     *
     * @param worker the worker
     * @return whether it is neither full, suspect nor quarantined, and its room is known
     */
    private boolean acceptsStarts(WorkerRecord worker) {
        long now = context.now();
        return now >= worker.fullUntilMillis
                && worker.startsInFlight
                        < (worker.isCold(now) ? MAX_COLD_STARTS_IN_FLIGHT : MAX_STARTS_IN_FLIGHT)
                && !worker.failureDetector.isSuspect(now)
                && !worker.isQuarantined()
                && worker.isRoomKnown()
                && !isCapacityOutdated(worker);
    }

    /**
     * Returns whether the known capacity of a worker is too old for a start. Only a worker that
     * does not refuse what exceeds its capacity needs a recent one.
     *
     * @param worker the worker
     * @return whether the store has not confirmed its entry for too long
     */
    private boolean isCapacityOutdated(WorkerRecord worker) {
        return context.manifest.unguardedServices().contains(worker.entry.service())
                && context.now() - context.workerEntriesReadAtMillis.getAsLong()
                        > context.settings.maximumEntryAgeMillis();
    }

    /**
     * Returns whether a worker has the label that a step requires.
     *
     * @param spec the step
     * @param worker the worker
     * @return whether the worker has the label or the step requires none
     */
    private static boolean hasRequiredLabel(StepSpec spec, WorkerRecord worker) {
        return spec.requiredLabel().isEmpty()
                || worker.entry.labels().contains(spec.requiredLabel());
    }

    /**
     * Returns whether a worker runs fewer tasks of a step than the limit per worker.
     *
     * @param step the step
     * @param worker the worker
     * @return whether one more task of the step may start there
     */
    private static boolean isBelowWorkerLimit(StepRecord step, WorkerRecord worker) {
        int limit = step.spec.maximumPerWorker();
        if (limit == 0) {
            return true;
        }
        int runsOfStep = 0;
        for (RunRecord run : worker.runs.values()) {
            if (run.taskId.submission().equals(step.occurrence.job.id())
                    && run.taskId.occurrence() == step.occurrence.number
                    && run.taskId.step() == step.number) {
                runsOfStep++;
            }
        }
        return runsOfStep < limit;
    }

    /**
     * Returns whether the CPU of a worker suffices for a filler, and whether a new long-running
     * task may use a worker that might be kept for urgent tasks. Other tasks are not restricted
     * here.
     *
     * @param task the task
     * @param worker the worker
     * @return whether the CPU suffices
     */
    private boolean hasEnoughCpu(TaskRecord task, WorkerRecord worker) {
        StepSpec spec = task.step.spec;
        if (spec.filling()) {
            return !worker.throttleState.paused
                    && worker.fillerMillicores() + spec.need().cpuMillicores()
                            <= worker.idleMillicores();
        }
        if (spec.lasting() && !task.everRan) {
            return !urgentReserve.contains(worker.id) || mayUseReserve(task);
        }
        return true;
    }

    /**
     * Returns whether a new long-running task may use the workers that are kept for urgent tasks:
     * after some time, if the cell is less than half full. Its step may need more workers than the
     * reserve leaves.
     *
     * @param task the task
     * @return whether it may
     */
    private boolean mayUseReserve(TaskRecord task) {
        boolean waitedLong =
                task.readySinceMillis != 0
                        && context.now() - task.readySinceMillis >= RESERVE_YIELD_MILLIS;
        return waitedLong && reservedFraction < RESERVE_YIELD_FRACTION;
    }

    /**
     * Returns the impact on serving tasks that a filler may have. It grows with the waiting time,
     * so that each pair of images is tried from time to time and its coefficient stays up to date.
     *
     * @param task the task of the filler
     * @return the allowed impact, as a number of serving tasks pushed over their target
     */
    private double allowedImpact(TaskRecord task) {
        long waitedMillis = task.readySinceMillis == 0 ? 0 : context.now() - task.readySinceMillis;
        return INITIAL_ALLOWED_IMPACT
                + ALLOWED_IMPACT_PER_SECOND * waitedMillis / MILLIS_PER_SECOND;
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

    /**
     * Computes the score of a worker for a task; the lowest score wins.
     *
     * @param task the task
     * @param worker the worker
     * @return the score
     */
    private double score(TaskRecord task, WorkerRecord worker) {
        StepSpec spec = task.step.spec;
        double capacity = Math.max(1, worker.entry.capacity().cpuMillicores());
        double score = task.avoidedWorkerIds.contains(worker.id) ? AVOIDED_WORKER_PENALTY : 0;
        boolean remote =
                !spec.dataRack().isEmpty() && !worker.entry.labels().contains(spec.dataRack());
        if (remote) {
            score += REMOTE_DATA_WEIGHT * (context.settings.remoteFactor() - 1);
        }
        if (context.now() < worker.slowUntilMillis || worker.isCold(context.now())) {
            score += SLOW_WORKER_PENALTY;
        }
        if (spec.filling()) {
            double fillerLoad =
                    (double) worker.fillerMillicores() / Math.max(1, worker.idleMillicores());
            double impact = fillerThrottle.predictImpact(worker, spec);
            return impact > allowedImpact(task)
                    ? REJECTED_SCORE
                    : score + impact + FILLER_LOAD_WEIGHT * fillerLoad;
        }
        if (spec.lasting()) {
            double freeFraction = worker.freeResources().cpuMillicores() / capacity;
            return score + imageMismatch(worker, spec.image()) + FREE_CPU_WEIGHT * freeFraction;
        }
        return score + worker.freeResources().cpuMillicores() / capacity;
    }
}
