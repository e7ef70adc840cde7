package org.damasktiller.decision.dispatch;

import java.util.ArrayList;
import java.util.List;
import java.util.Objects;
import org.damasktiller.decision.KindIndex;
import org.damasktiller.decision.guard.EvictTask;
import org.damasktiller.decision.guard.GuardAction;
import org.damasktiller.decision.guard.GuardReading;
import org.damasktiller.decision.guard.GuardedTask;
import org.damasktiller.decision.guard.ServiceGuard;
import org.damasktiller.decision.guard.ThrottleTask;
import org.damasktiller.decision.interference.InterferenceEstimator;
import org.damasktiller.decision.interference.LoadLevel;
import org.damasktiller.decision.interference.SlowdownBaseline;
import org.damasktiller.decision.interference.SlowdownReport;
import org.damasktiller.identity.JobId;
import org.damasktiller.identity.WorkerId;
import org.damasktiller.resource.Resources;
import org.damasktiller.table.KindOfWork;

/** Keeps guarded services fast: follows their load, learns what slows them, and guards them. */
final class ServiceProtection {

    /** The reservation of a service in relation to its present use. */
    private static final double HEADROOM = 1.25;

    /** The least part of its declared size that stays reserved for a service. */
    private static final double LEAST_PART = 0.15;

    /** How far ahead the trend of the use is followed, in milliseconds. */
    private static final long AHEAD_MILLIS = 30_000;

    /** The running tasks. */
    private final TaskTable tasks;

    /** Makes room for growing services. */
    private final RoomMaker rooms;

    /** The numbers of the kinds. */
    private final KindIndex kinds;

    /** The estimates of slowdown. */
    private final InterferenceEstimator interference;

    /** The latencies without slowdown. */
    private final SlowdownBaseline baseline = new SlowdownBaseline();

    /** The guard. */
    private final ServiceGuard guard;

    /** The settings. */
    private final DispatchSettings settings;

    /**
     * Creates a part.
     *
     * @param tasks the running tasks
     * @param rooms makes room for growing services
     * @param kinds the numbers of the kinds
     * @param interference the estimates of slowdown
     * @param settings the settings
     */
    ServiceProtection(
            TaskTable tasks,
            RoomMaker rooms,
            KindIndex kinds,
            InterferenceEstimator interference,
            DispatchSettings settings) {
        this.tasks = tasks;
        this.rooms = rooms;
        this.kinds = kinds;
        this.interference = interference;
        this.guard = new ServiceGuard(settings.guard());
        this.settings = settings;
    }

    /**
     * Forgets a worker that is gone.
     *
     * @param worker the worker
     */
    void workerGone(WorkerId worker) {
        guard.workerGone(worker);
    }

    /**
     * Decides on a measurement of a service.
     *
     * @param service the instance
     * @param report the measurement
     * @param row the row of its kind
     * @param nowMillis the time, in milliseconds
     * @return what to tell the worker
     */
    List<DispatchAction> onReport(
            RunningTask service, ServiceReport report, KindOfWork row, long nowMillis) {
        List<DispatchAction> actions = follow(service, report, nowMillis);
        int victim = kinds.number(service.job.kind());
        long from = report.fromMillis();
        long to = report.toMillis();
        double predicted = interference.predicted(service.worker, victim, from, to);
        double declared = Math.max(1, service.job.size().milliProcessors());
        double ownLoad = report.milliProcessorsUsed() / declared;
        boolean known = baseline.known(victim, ownLoad);
        double slowdown = baseline.slowdown(victim, ownLoad, report.latencyMillis(), predicted);
        interference.observe(
                new SlowdownReport(service.worker, victim, slowdown, from, to), nowMillis);
        if (!settings.protectServices()) {
            return actions;
        }
        double pressure = known ? slowdown / settings.guardedSlowdown() : 0;
        if (row.latencyTargetMillis() > 0) {
            pressure = Math.max(pressure, report.latencyMillis() / row.latencyTargetMillis());
        }
        GuardReading reading =
                new GuardReading(service.worker, from, to, pressure, guarded(service, victim));
        for (GuardAction action : guard.onReading(reading, nowMillis)) {
            actions.addAll(carryOut(action, nowMillis));
        }
        return actions;
    }

    /**
     * Follows the use of a service and its trend with the reservation.
     *
     * @param service the instance
     * @param report the measurement
     * @param nowMillis the time, in milliseconds
     * @return what to tell the worker
     */
    private List<DispatchAction> follow(RunningTask service, ServiceReport report, long nowMillis) {
        long declared = service.job.size().milliProcessors();
        long used = report.milliProcessorsUsed();
        long elapsed = report.toMillis() - service.reportedMillis;
        double trend =
                service.reportedMillis == 0 || elapsed <= 0
                        ? 0
                        : Math.max(0, (double) (used - service.usedBefore) / elapsed);
        service.usedBefore = used;
        service.reportedMillis = report.toMillis();
        double ahead = used * HEADROOM + trend * (AHEAD_MILLIS + nowMillis - report.toMillis());
        long wanted = (long) Math.min((double) declared, Math.max(LEAST_PART * declared, ahead));
        List<DispatchAction> actions = new ArrayList<>();
        long missing = wanted - service.reserved.milliProcessors();
        if (missing > 0) {
            actions.addAll(rooms.free(service.worker, missing, nowMillis));
            long free = tasks.state(service.worker).free().milliProcessors();
            wanted = service.reserved.milliProcessors() + Math.min(missing, free);
        }
        Resources size =
                new Resources(
                        wanted,
                        service.reserved.memoryMegabytes(),
                        service.reserved.accelerators());
        if (!size.equals(service.reserved) && tasks.resize(service, size, nowMillis)) {
            actions.add(new ResizeTask(service.job.id(), service.worker, size));
        }
        return actions;
    }

    /**
     * Lists the batch tasks beside a service with the harm that they are predicted to do.
     *
     * @param service the instance
     * @param victim the number of its kind
     * @return the tasks
     */
    private List<GuardedTask> guarded(RunningTask service, int victim) {
        double whole = (double) tasks.state(service.worker).spec().capacity().milliProcessors();
        LoadLevel level = LoadLevel.of(tasks.state(service.worker).reservedShare());
        List<GuardedTask> beside = new ArrayList<>();
        for (RunningTask task : tasks.on(service.worker)) {
            if (task.service || task.stopping) {
                continue;
            }
            int kind = kinds.number(task.job.kind());
            double load = task.reserved.milliProcessors() / whole;
            beside.add(
                    new GuardedTask(
                            task.job.id(),
                            interference.factor(victim, kind, level) * load,
                            task.guardPercent,
                            task.workAtRiskMillis,
                            task.evictable));
        }
        return beside;
    }

    /**
     * Carries out an action of the guard.
     *
     * @param action the action
     * @param nowMillis the time, in milliseconds
     * @return what to tell the worker
     */
    private List<DispatchAction> carryOut(GuardAction action, long nowMillis) {
        JobId job = action.job();
        RunningTask task = Objects.requireNonNull(tasks.get(job));
        if (action instanceof EvictTask) {
            task.stopping = true;
            return List.of(new StopTask(job, task.worker));
        }
        int before = task.guardPercent;
        task.guardPercent = ((ThrottleTask) action).speedPercent();
        Resources size = task.at(task.speedPercent());
        if (!tasks.resize(task, size, nowMillis)) {
            task.guardPercent = before;
            return List.of();
        }
        return List.of(new ResizeTask(job, task.worker, size));
    }
}
