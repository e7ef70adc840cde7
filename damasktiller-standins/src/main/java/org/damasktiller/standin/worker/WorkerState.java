package org.damasktiller.standin.worker;

import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import org.damasktiller.identity.WorkerId;
import org.damasktiller.resource.Resources;
import org.damasktiller.worker.AcknowledgeCommand;
import org.damasktiller.worker.AttemptId;
import org.damasktiller.worker.Checkpoint;
import org.damasktiller.worker.FenceCommand;
import org.damasktiller.worker.FencedCommand;
import org.damasktiller.worker.FinishedTask;
import org.damasktiller.worker.Inventory;
import org.damasktiller.worker.Permit;
import org.damasktiller.worker.ProbeAnswer;
import org.damasktiller.worker.RefusalReason;
import org.damasktiller.worker.RefusedAnswer;
import org.damasktiller.worker.RenewCommand;
import org.damasktiller.worker.ReportAnswer;
import org.damasktiller.worker.StartCommand;
import org.damasktiller.worker.StopCommand;
import org.damasktiller.worker.StoppedTask;
import org.damasktiller.worker.TaskStart;
import org.damasktiller.worker.TaskUsage;
import org.damasktiller.worker.ThrottleCommand;
import org.damasktiller.worker.UsageReport;
import org.damasktiller.worker.WorkerAnswer;
import org.damasktiller.worker.WorkerCommand;
import org.damasktiller.worker.WorkerStamp;

/**
 * Simulates one worker of the platform: generation fence, stamps, task leases, capacity, idempotent
 * attempts, checkpoints, and results kept until they are acknowledged. It does no I/O and takes the
 * time as an argument, which must not fall. Not safe for use by several threads.
 */
public final class WorkerState {

    /** How often the usage is measured, in milliseconds. */
    private static final long USAGE_INTERVAL_MILLIS = 5_000;

    /** The order of attempts in the inventory. */
    private static final Comparator<AttemptId> ATTEMPT_ORDER =
            Comparator.comparing(AttemptId::job).thenComparingInt(AttemptId::number);

    /** The worker's name. */
    private final WorkerId worker;

    /** What the worker has. */
    private final Resources capacity;

    /** The record of runs. */
    private final WorkerObserver observer;

    /** The running tasks. */
    private final Map<AttemptId, SimulatedTask> running = new TreeMap<>(ATTEMPT_ORDER);

    /** The stopped attempts that were not acknowledged. */
    private final Map<AttemptId, StoppedTask> stopped = new TreeMap<>(ATTEMPT_ORDER);

    /** The finished attempts that were not acknowledged. */
    private final Map<AttemptId, FinishedTask> finished = new TreeMap<>(ATTEMPT_ORDER);

    /** The number of times that the process started. */
    private int processNumber = 1;

    /** The highest generation that fenced the worker. */
    private long generation;

    /** The latest usage measured. */
    private UsageReport usage = new UsageReport(0, List.of());

    /**
     * Creates a worker that runs nothing.
     *
     * @param worker the worker's name
     * @param capacity what the worker has
     * @param observer the record of runs
     */
    public WorkerState(WorkerId worker, Resources capacity, WorkerObserver observer) {
        this.worker = worker;
        this.capacity = capacity;
        this.observer = observer;
    }

    /**
     * Carries out one command.
     *
     * @param command the command
     * @param nowMillis the time, in milliseconds
     * @return the answer
     */
    public WorkerAnswer handle(WorkerCommand command, long nowMillis) {
        advance(nowMillis);
        if (!(command instanceof FencedCommand fenced)) {
            return new ProbeAnswer(stamp(nowMillis), capacity);
        }
        Optional<RefusalReason> refusal = refusal(fenced, nowMillis);
        if (refusal.isPresent()) {
            return new RefusedAnswer(stamp(nowMillis), refusal.get(), generation);
        }
        apply(fenced, nowMillis);
        return new ReportAnswer(stamp(nowMillis), inventory(), usage);
    }

    /**
     * Ends the tasks that are done or whose leases lapsed by now.
     *
     * @param nowMillis the time, in milliseconds
     */
    public void advance(long nowMillis) {
        for (SimulatedTask task : List.copyOf(running.values())) {
            long doneAt = task.doneAtMillis();
            if (doneAt < task.leaseEndMillis() && doneAt <= nowMillis) {
                finish(task, doneAt);
            } else if (task.leaseEndMillis() <= nowMillis) {
                stop(task, task.leaseEndMillis(), true, RunEnd.LAPSED);
            }
        }
        if (nowMillis - usage.measuredAtMillis() >= USAGE_INTERVAL_MILLIS) {
            usage = measure(nowMillis);
        }
    }

    /**
     * Starts the worker's process anew with an empty memory; whatever ran is lost.
     *
     * @param nowMillis the time, in milliseconds
     */
    public void restart(long nowMillis) {
        advance(nowMillis);
        for (SimulatedTask task : running.values()) {
            observer.ended(
                    task.start().attempt(),
                    worker,
                    nowMillis,
                    task.progressMillis(nowMillis),
                    RunEnd.LOST);
        }
        stopped.keySet().forEach(attempt -> observer.forgotten(attempt, worker));
        finished.keySet().forEach(attempt -> observer.forgotten(attempt, worker));
        running.clear();
        stopped.clear();
        finished.clear();
        generation = 0;
        processNumber++;
    }

    /**
     * Returns the amounts reserved by the running tasks.
     *
     * @return the amounts
     */
    public Resources reserved() {
        Resources sum = Resources.NONE;
        for (SimulatedTask task : running.values()) {
            sum = sum.plus(task.start().task().resources());
        }
        return sum;
    }

    /**
     * Lists every attempt that the worker knows of.
     *
     * @return the inventory
     */
    public Inventory inventory() {
        return new Inventory(
                running.values().stream().map(SimulatedTask::describe).toList(),
                List.copyOf(stopped.values()),
                List.copyOf(finished.values()));
    }

    /**
     * Returns the worker's stamp.
     *
     * @param nowMillis the time, in milliseconds
     * @return the stamp
     */
    private WorkerStamp stamp(long nowMillis) {
        return new WorkerStamp(worker + "/" + processNumber, nowMillis);
    }

    /**
     * Checks the permit of a command.
     *
     * @param command the command
     * @param nowMillis the time, in milliseconds
     * @return why the command is refused, or empty if it is not
     */
    private Optional<RefusalReason> refusal(FencedCommand command, long nowMillis) {
        Permit permit = command.permit();
        if (!permit.stamp().incarnation().equals(stamp(nowMillis).incarnation())) {
            return Optional.of(RefusalReason.OTHER_INCARNATION);
        }
        if (permit.generation() < generation) {
            return Optional.of(RefusalReason.LOWER_GENERATION);
        }
        if (permit.expiryMillis() <= nowMillis) {
            return Optional.of(RefusalReason.EXPIRED_PERMIT);
        }
        if (permit.generation() > generation && !(command instanceof FenceCommand)) {
            return Optional.of(RefusalReason.NOT_FENCED);
        }
        return Optional.empty();
    }

    /**
     * Carries out a command that was not refused.
     *
     * @param command the command
     * @param nowMillis the time, in milliseconds
     */
    private void apply(FencedCommand command, long nowMillis) {
        long leaseEnd = command.permit().expiryMillis();
        if (command instanceof FenceCommand fence) {
            generation = fence.permit().generation();
        } else if (command instanceof StartCommand start) {
            start.starts().forEach(each -> start(each, leaseEnd, nowMillis));
        } else if (command instanceof RenewCommand renew) {
            renew.attempts().stream()
                    .filter(running::containsKey)
                    .forEach(attempt -> task(attempt).renew(leaseEnd));
        } else if (command instanceof StopCommand stop) {
            stop.attempts().stream()
                    .filter(running::containsKey)
                    .forEach(
                            each -> stop(task(each), nowMillis, stop.checkpoint(), RunEnd.STOPPED));
        } else if (command instanceof ThrottleCommand throttle) {
            if (running.containsKey(throttle.attempt())) {
                task(throttle.attempt()).throttle(throttle.speedPercent(), nowMillis);
            }
        } else if (command instanceof AcknowledgeCommand acknowledge) {
            stopped.keySet().removeAll(acknowledge.attempts());
            finished.keySet().removeAll(acknowledge.attempts());
        }
    }

    /**
     * Returns a running task.
     *
     * @param attempt its attempt
     * @return the task
     */
    private SimulatedTask task(AttemptId attempt) {
        SimulatedTask task = running.get(attempt);
        if (task == null) {
            throw new IllegalStateException("not running: " + attempt);
        }
        return task;
    }

    /**
     * Starts an attempt unless the worker lists it already or it does not fit.
     *
     * @param start the attempt
     * @param leaseEndMillis when its lease lapses, in milliseconds
     * @param nowMillis the time, in milliseconds
     */
    private void start(TaskStart start, long leaseEndMillis, long nowMillis) {
        AttemptId attempt = start.attempt();
        if (running.containsKey(attempt)
                || stopped.containsKey(attempt)
                || finished.containsKey(attempt)) {
            return;
        }
        Resources wanted = reserved().plus(start.task().resources());
        if (!wanted.fitsWithin(capacity)) {
            observer.overcommitted(worker, wanted, capacity);
            return;
        }
        long progress = SimulatedTask.startProgressMillis(start.checkpoint());
        observer.started(
                new Run(
                        attempt,
                        start.task().payload(),
                        worker,
                        nowMillis,
                        Long.MAX_VALUE,
                        progress,
                        progress,
                        RunEnd.NONE,
                        false));
        running.put(attempt, new SimulatedTask(start, leaseEndMillis, nowMillis));
    }

    /**
     * Ends a task that is done.
     *
     * @param task the task
     * @param millis when it was done, in milliseconds
     */
    private void finish(SimulatedTask task, long millis) {
        AttemptId attempt = task.start().attempt();
        running.remove(attempt);
        RunEnd end = task.succeeds() ? RunEnd.SUCCEEDED : RunEnd.FAILED;
        observer.ended(attempt, worker, millis, task.progressMillis(millis), end);
        finished.put(
                attempt,
                new FinishedTask(
                        attempt, task.succeeds(), "ran on " + worker + " until " + millis));
    }

    /**
     * Ends a task before it is done.
     *
     * @param task the task
     * @param millis when it ends, in milliseconds
     * @param keep whether to keep a checkpoint
     * @param end how it ends
     */
    private void stop(SimulatedTask task, long millis, boolean keep, RunEnd end) {
        AttemptId attempt = task.start().attempt();
        running.remove(attempt);
        long progress = task.progressMillis(millis);
        observer.ended(attempt, worker, millis, progress, end);
        stopped.put(
                attempt,
                new StoppedTask(attempt, keep ? new Checkpoint(Long.toString(progress)) : null));
    }

    /**
     * Measures the usage, which equals the reservation of each running task.
     *
     * @param nowMillis the time, in milliseconds
     * @return the usage
     */
    private UsageReport measure(long nowMillis) {
        return new UsageReport(
                nowMillis,
                running.values().stream()
                        .map(SimulatedTask::describe)
                        .map(task -> new TaskUsage(task.attempt(), task.resources()))
                        .toList());
    }
}
