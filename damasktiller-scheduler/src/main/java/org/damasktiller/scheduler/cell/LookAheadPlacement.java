package org.damasktiller.scheduler.cell;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;
import org.damasktiller.scheduler.estimate.RunTimeEstimator;
import org.damasktiller.scheduler.lookahead.ExpectedEnd;
import org.damasktiller.scheduler.lookahead.Reservation;
import org.damasktiller.scheduler.lookahead.ReservationPlanner;
import org.damasktiller.scheduler.lookahead.WaitingNeed;
import org.damasktiller.scheduler.lookahead.WorkerForecast;
import org.damasktiller.scheduler.model.Resources;
import org.damasktiller.scheduler.model.StepSpec;
import org.damasktiller.scheduler.policy.Policy;
import org.jspecify.annotations.Nullable;

/**
 * Keeps room for large tasks that wait, from the expected ends of the runs of a cell. Does nothing
 * unless the settings ask for it.
 */
final class LookAheadPlacement {

    /** The time between two plans, in milliseconds; each looks at all runs of the cell. */
    private static final long PLAN_INTERVAL_MILLIS = 100;

    /** How long a step must have waited before room is kept for it, in milliseconds. */
    private static final long MIN_WAIT_MILLIS = 200;

    /** The most steps for which a plan keeps room. */
    private static final int MAX_STEPS = 32;

    /** The progress of a finished run, in percent. */
    private static final double COMPLETE_PERCENT = 100;

    /** The shared state of the cell's owner. */
    private final CellContext context;

    /** Estimates run times. */
    private final RunTimeEstimator runTimes;

    /** Decides which workers keep room, and what may start there. */
    private final ReservationPlanner planner = new ReservationPlanner();

    /** When the reservations were last planned, in milliseconds. */
    private long plannedAtMillis = WorkerRecord.NEVER;

    /** The steps for which room was kept at the last plan. */
    private Set<String> reservedSteps = Set.of();

    /**
     * Creates a placement without reservations.
     *
     * @param context the shared state of the cell's owner
     * @param runTimes estimates run times
     */
    LookAheadPlacement(CellContext context, RunTimeEstimator runTimes) {
        this.context = context;
        this.runTimes = runTimes;
    }

    /**
     * Plans the reservations for the steps that wait, unless that was done a short time ago.
     *
     * @param waitingSteps the urgent steps with waiting tasks that are not too late to be of use
     * @param workerSelector decides which workers may run a task, apart from their room
     */
    void update(List<StepRecord> waitingSteps, WorkerSelector workerSelector) {
        long now = context.now();
        if (!context.settings.policies().isEnabled(Policy.LOOK_AHEAD)
                || now - plannedAtMillis < PLAN_INTERVAL_MILLIS) {
            return;
        }
        plannedAtMillis = now;
        List<WaitingNeed> needs = new ArrayList<>();
        for (StepRecord step : waitingSteps) {
            if (needs.size() == MAX_STEPS) {
                break;
            }
            WaitingNeed need = toNeed(step, workerSelector, now);
            if (need != null) {
                needs.add(need);
            }
        }
        planner.update(needs, needs.isEmpty() ? List.of() : forecasts(now), now);
        logChanges();
    }

    /**
     * Returns whether a task may start on a worker without delaying a task for which room is kept.
     *
     * @param task the task
     * @param worker the worker
     * @return whether it may
     */
    boolean admits(TaskRecord task, WorkerRecord worker) {
        return planner.reservations().isEmpty()
                || planner.admits(
                        worker.id,
                        task.step.name(),
                        task.step.spec.reserved(),
                        expectedEndMillis(task.step.spec));
    }

    /**
     * Records that a task has started on a worker.
     *
     * @param task the task
     * @param worker the worker
     */
    void onStarted(TaskRecord task, WorkerRecord worker) {
        planner.onStarted(
                worker.id,
                task.step.name(),
                task.step.spec.reserved(),
                expectedEndMillis(task.step.spec));
    }

    /**
     * Describes the need of a step if no worker has room for one of its tasks.
     *
     * @param step the step
     * @param workerSelector decides which workers may run a task, apart from their room
     * @param now the current time, in milliseconds
     * @return the need, or null if the step has not waited for long, is a gang, or has room
     */
    private @Nullable WaitingNeed toNeed(StepRecord step, WorkerSelector workerSelector, long now) {
        TaskRecord first = step.firstWaiting(now);
        int count = step.waitingCount(now);
        if (first == null
                || step.spec.gang()
                || first.readySinceMillis == 0
                || now - first.readySinceMillis < MIN_WAIT_MILLIS) {
            return null;
        }
        TaskRecord sample = first;
        Resources need = step.spec.reserved();
        boolean hasRoom =
                context.allWorkers().stream()
                        .anyMatch(
                                worker ->
                                        worker.hasRoomFor(need)
                                                && workerSelector.isEligible(
                                                        sample, worker, false));
        return hasRoom
                ? null
                : new WaitingNeed(
                        step.name(),
                        need,
                        count,
                        now - first.readySinceMillis,
                        id -> {
                            WorkerRecord worker = context.workers.get(id);
                            return worker != null
                                    && workerSelector.isEligible(sample, worker, false);
                        });
    }

    /**
     * Forecasts the room of the workers that may get starts.
     *
     * @param now the current time, in milliseconds
     * @return one forecast for each worker
     */
    private List<WorkerForecast> forecasts(long now) {
        List<WorkerForecast> forecasts = new ArrayList<>();
        for (WorkerRecord worker : context.allWorkers()) {
            if (!context.mayStartOn(worker, now)) {
                continue;
            }
            List<ExpectedEnd> ends = new ArrayList<>();
            for (RunRecord run : worker.runs.values()) {
                if (run.task != null && !run.isLongRunning() && !run.sizeUnknown) {
                    ends.add(new ExpectedEnd(expectedEndMillis(run, now), run.reserved));
                }
            }
            forecasts.add(new WorkerForecast(worker.id, worker.freeResources(), ends));
        }
        return forecasts;
    }

    /**
     * Estimates when a run ends, from its progress or, before any is reported, from its start.
     *
     * @param run the run, of a task that is not long-running
     * @param now the current time, in milliseconds
     * @return the time, not before now, in milliseconds
     */
    private long expectedEndMillis(RunRecord run, long now) {
        long fullMillis = run.task == null ? 0 : runTimes.expectedMillis(run.task.step.spec);
        if (run.phase == RunPhase.STOPPING) {
            return now;
        }
        if (run.progressPercent > 0) {
            double left = (COMPLETE_PERCENT - run.progressPercent) / COMPLETE_PERCENT;
            return now + (long) (left * fullMillis);
        }
        return Math.max(now, run.trackedSinceMillis + fullMillis);
    }

    /**
     * Estimates when a task would end that starts now.
     *
     * @param spec the step of the task
     * @return the time, in milliseconds, or {@link WorkerForecast#NEVER} for a long-running task
     */
    private long expectedEndMillis(StepSpec spec) {
        return spec.lasting()
                ? WorkerForecast.NEVER
                : context.now() + runTimes.expectedMillis(spec);
    }

    /** Logs the steps for which room is kept from now on. */
    private void logChanges() {
        Set<String> steps = new TreeSet<>();
        for (Reservation reservation : planner.reservations()) {
            steps.add(reservation.step());
            if (!reservedSteps.contains(reservation.step())) {
                context.log.log(
                        "room.reserved",
                        "cell",
                        context.cell,
                        "step",
                        reservation.step(),
                        "worker",
                        reservation.worker(),
                        "need",
                        reservation.need(),
                        "inMillis",
                        reservation.startMillis() - context.now(),
                        "reservations",
                        planner.reservations().size());
            }
        }
        reservedSteps = steps;
    }
}
