package org.damasktiller.scheduler.cell;

import java.util.ArrayList;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import org.damasktiller.scheduler.model.Resources;
import org.damasktiller.scheduler.model.StepSpec;
import org.damasktiller.scheduler.placement.ReserveCandidate;
import org.damasktiller.scheduler.placement.UrgentReserve;
import org.damasktiller.scheduler.placement.WorkerReserve;
import org.damasktiller.scheduler.policy.Policy;
import org.damasktiller.scheduler.policy.PolicySet;
import org.jspecify.annotations.Nullable;

/**
 * Selects the workers on which tasks start: decides which workers are eligible, and takes the one
 * that {@link WorkerScorer} ranks first.
 *
 * <p>Load patterns: tasks of different sizes with free capacity fragmented over many workers, and
 * steps that must spread over workers.
 */
final class WorkerSelector {

    /** The maximum number of start requests in flight to one worker; connections are billed. */
    private static final int MAX_STARTS_IN_FLIGHT = 6;

    /**
     * The maximum number of start requests in flight to a worker that is cold, so that a zone that
     * returns fills gradually.
     */
    private static final int MAX_COLD_STARTS_IN_FLIGHT = 2;

    /** The time between two updates of the reserve for urgent tasks, in milliseconds. */
    private static final long RESERVE_UPDATE_MILLIS = 250;

    /**
     * How long a task waits before it may use the reserve for urgent tasks, room that is kept for
     * larger ones, or a suspect worker, in milliseconds.
     */
    private static final long YIELD_MILLIS = 1_500;

    /** The fraction of the CPU in use below which tasks may do so. */
    private static final double YIELD_FRACTION = 0.5;

    /**
     * How long a long-running task waits before it may use what recent urgent tasks have not needed
     * of their reserve, in milliseconds: how long it may be interrupted before the platform looks
     * for its run.
     */
    private static final long RESERVE_PATIENCE_MILLIS = 6_000;

    /**
     * How long all runs of a worker on probation must be active until it gets the start of a task
     * that has waited for long, in milliseconds.
     */
    private static final long RECENT_START_MILLIS = 1_000;

    /** The time of an event that has not happened. */
    private static final long NEVER = -1;

    /** The shared state of the cell's owner. */
    private final CellContext context;

    /** Ranks the workers on which a task may start. */
    private final WorkerScorer scorer;

    /** Holds the tickets for routes that need advice. */
    private final AdviceTicketProvider advice;

    /** Keeps room for large tasks. */
    private final LookAheadPlacement lookAhead;

    /** The workers that are kept free of new long-running tasks. */
    private final WorkerReserve urgentReserve;

    /** When the reserve was last updated, in milliseconds, or {@link #NEVER}. */
    private long reserveUpdatedAtMillis = NEVER;

    /** How much of the cell was reserved when the reserve was last updated. */
    private final CellLoad load = new CellLoad();

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
        this.scorer = new WorkerScorer(context, fillerThrottle, load);
        PolicySet policies = context.settings.policies();
        this.urgentReserve =
                policies.isEnabled(Policy.URGENT_RESERVE)
                        ? new UrgentReserve()
                        : WorkerReserve.NONE;
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
        load.update(reserved, capacity);
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
     * Returns whether a worker is kept for urgent tasks, also from others that have waited for a
     * short time.
     *
     * @param worker the worker
     * @return whether new long-running tasks may not use it before they have waited for long
     */
    boolean isKeptForUrgentTasks(WorkerRecord worker) {
        return urgentReserve.contains(worker.id) && load.reservedFraction() >= YIELD_FRACTION;
    }

    /**
     * Selects the worker with the lowest score for a task.
     *
     * @param task the task
     * @return the worker, or null if none is eligible and has enough free resources
     */
    @Nullable WorkerRecord selectWorker(TaskRecord task) {
        WorkerRecord best = null;
        double bestScore = WorkerScorer.REJECTED;
        boolean ticketRequired = advice.isRequired(task.step);
        Resources need = task.step.spec.reserved();
        for (WorkerRecord worker : context.allWorkers()) {
            if (!worker.hasRoomFor(need)
                    || !isEligible(task, worker, ticketRequired)
                    || isRoomKept(task, worker)) {
                continue;
            }
            double score = scorer.score(task, worker);
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
        if (!acceptsStarts(worker)
                || isQuarantinedAgainst(task, worker)
                || worker.suspectHold.excludes(task.id, now)) {
            return PlacementVerdict.BUSY;
        }
        if (!hasRequiredLabel(task.step.spec, worker)) {
            return PlacementVerdict.LABEL_MISSING;
        }
        if (mayNotProbe(task, worker)) {
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
        if (isRoomKept(task, worker)) {
            return PlacementVerdict.ROOM_KEPT;
        }
        return scorer.score(task, worker) == WorkerScorer.REJECTED
                ? PlacementVerdict.WOULD_DISTURB
                : PlacementVerdict.ELIGIBLE;
    }

    /**
     * Counts the workers by why {@link #selectWorker} may or may not choose them for a task.
     *
     * @param task the task
     * @return the number of workers by the first rule that refuses, without rules that refuse none
     */
    Map<PlacementVerdict, Integer> countVerdicts(TaskRecord task) {
        Map<PlacementVerdict, Integer> counts = new EnumMap<>(PlacementVerdict.class);
        for (WorkerRecord worker : context.allWorkers()) {
            counts.merge(explain(task, worker), 1, Integer::sum);
        }
        return counts;
    }

    /**
     * Returns whether less than half of the cell's CPU is in use.
     *
     * @return whether it was, as of the last update of the reserve
     */
    boolean hasRoomInCell() {
        return load.reservedFraction() < YIELD_FRACTION;
    }

    /**
     * Returns whether a usable worker may get one more start now, whatever the task.
     *
     * @param worker the worker
     * @return whether it is not full, and its room is known
     */
    private boolean acceptsStarts(WorkerRecord worker) {
        long now = context.now();
        return now >= worker.fullUntilMillis
                && worker.startsInFlight
                        < (worker.isCold(now) ? MAX_COLD_STARTS_IN_FLIGHT : MAX_STARTS_IN_FLIGHT)
                && worker.isRoomKnown()
                && !isCapacityOutdated(worker);
    }

    /**
     * Returns whether a worker does not get a start of a task since a run there may crash it.
     *
     * @param task the task
     * @param worker the worker
     * @return whether it is quarantined, and the task may not share it with those that run there
     */
    private static boolean isQuarantinedAgainst(TaskRecord task, WorkerRecord worker) {
        return switch (worker.quarantine()) {
            case NONE -> false;
            case SHARED -> !task.crashes.mayShareWorker();
            case ALONE -> true;
        };
    }

    /**
     * Returns whether a worker has failed runs and may not get a start of a task now: while another
     * run has yet to show whether it fails, and while the worker is suspect. A task that has waited
     * for long with room in the cell and has not failed there waits only for recent starts.
     *
     * @param task the task
     * @param worker the worker
     * @return whether it must not start there
     */
    private boolean mayNotProbe(TaskRecord task, WorkerRecord worker) {
        if (!worker.failureDetector.isOnProbation()) {
            return false;
        }
        boolean needed =
                task.isWaiting(context.now())
                        && hasWaitedDespiteRoom(task)
                        && !task.avoidedWorkerIds.contains(worker.id);
        return needed
                ? hasRecentStart(worker)
                : worker.hasProbe() || worker.failureDetector.isSuspect(context.now());
    }

    /**
     * Returns whether a run of a worker is not known to have been active for some time. A worker
     * that fails all runs thus gets few starts of tasks that have waited for long.
     *
     * @param worker the worker
     * @return whether one of its runs, of whatever kind, has started a short time ago
     */
    private static boolean hasRecentStart(WorkerRecord worker) {
        return worker.runs.values().stream()
                .anyMatch(run -> run.knownActiveMillis() < RECENT_START_MILLIS);
    }

    /**
     * Returns whether the room of a worker is kept for a larger task. The expected ends on which
     * that depends may be wrong.
     *
     * @param task the task
     * @param worker the worker
     * @return whether the task would delay the larger one, and has not waited for long with room in
     *     the cell
     */
    private boolean isRoomKept(TaskRecord task, WorkerRecord worker) {
        return !lookAhead.admits(task, worker) && !hasWaitedDespiteRoom(task);
    }

    /**
     * Returns whether the known capacity of a worker is too old for a start. Only a worker that is
     * not known to refuse what exceeds its capacity needs a recent one.
     *
     * @param worker the worker
     * @return whether its entry is that of a former boot, or the store has not confirmed it for too
     *     long
     */
    private boolean isCapacityOutdated(WorkerRecord worker) {
        if (context.manifest().guardsCapacity(worker.entry.service())) {
            return false;
        }
        return worker.entry.isOfBootBefore(worker.bootUnixMillis)
                || context.now() - context.workerEntriesReadAtMillis.getAsLong()
                        > context.settings.maximumEntryAgeMillis();
    }

    /**
     * Returns whether a worker has the label that a step requires. The labels of an entry are those
     * of the boot that wrote it.
     *
     * @param spec the step
     * @param worker the worker
     * @return whether the worker is known to have the label, or the step requires none
     */
    private static boolean hasRequiredLabel(StepSpec spec, WorkerRecord worker) {
        return spec.requiredLabel().isEmpty()
                || (worker.entry.labels().contains(spec.requiredLabel())
                        && !worker.entry.isOfBootBefore(worker.bootUnixMillis));
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
            boolean sufficient =
                    !worker.throttleState.paused
                            && worker.fillerMillicores() + spec.need().cpuMillicores()
                                    <= worker.idleMillicores();
            return sufficient || scorer.mayShareIdleCpu(task);
        }
        if (spec.lasting() && !task.everRan) {
            return !urgentReserve.contains(worker.id)
                    || hasWaitedDespiteRoom(task)
                    || mayUseReserve(task, worker);
        }
        return true;
    }

    /**
     * Returns whether a task has waited for some time although the cell is less than half full. It
     * may then use the workers that are kept for urgent or larger tasks, or are suspect: its step
     * may need more workers than the others.
     *
     * @param task the task
     * @return whether it has
     */
    private boolean hasWaitedDespiteRoom(TaskRecord task) {
        return hasWaitedDespiteRoom(task, YIELD_MILLIS);
    }

    /**
     * Returns whether a task has been ready for some time and the cell is less than half full.
     *
     * @param task the task
     * @param millis the time, in milliseconds
     * @return whether both is so
     */
    boolean hasWaitedDespiteRoom(TaskRecord task, long millis) {
        return hasWaited(task, millis) && load.reservedFraction() < YIELD_FRACTION;
    }

    /**
     * Returns whether a task that has waited for long may use a worker of the reserve: the tasks
     * that last leave it the CPU that urgent tasks have needed lately.
     *
     * @param task the task
     * @param worker the worker, in the reserve
     * @return whether it may, however full the cell is
     */
    private boolean mayUseReserve(TaskRecord task, WorkerRecord worker) {
        long left =
                worker.entry.capacity().cpuMillicores()
                        - worker.longRunningMillicores()
                        - task.step.spec.need().cpuMillicores();
        return hasWaited(task, RESERVE_PATIENCE_MILLIS)
                && left >= urgentReserve.demandedMillicores(worker.id);
    }

    /**
     * Returns whether a task has been ready for some time.
     *
     * @param task the task
     * @param millis the time, in milliseconds
     * @return whether it was first found ready that long ago
     */
    private boolean hasWaited(TaskRecord task, long millis) {
        return task.readySinceMillis != 0 && context.now() - task.readySinceMillis >= millis;
    }
}
