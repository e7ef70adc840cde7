package org.damasktiller.standin.fleet;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.damasktiller.scheduler.model.ActiveRun;
import org.damasktiller.scheduler.model.EndKind;
import org.damasktiller.scheduler.model.EndedRun;
import org.damasktiller.scheduler.model.Inventory;
import org.damasktiller.scheduler.model.Resources;
import org.damasktiller.scheduler.model.TaskId;
import org.damasktiller.scheduler.port.HeartbeatRequest;
import org.damasktiller.scheduler.port.ProcessRuntime;
import org.damasktiller.scheduler.port.StartRequest;
import org.damasktiller.scheduler.port.WorkerClient;
import org.damasktiller.scheduler.port.WorkerReply;
import org.damasktiller.scheduler.port.WorkerStatus;

/**
 * A simulated worker. It holds the state that calls depend on: the highest fencing token, the
 * lease, the active runs and the ended runs that have not been acknowledged. Calls take effect
 * immediately and in the order in which they are made. Restarting the worker clears this state.
 */
public final class SimulatedWorker {

    /** The time that a run needs to stop, in milliseconds. */
    private static final long STOP_DURATION_MILLIS = 200;

    /** The maximum duration of a lease, in milliseconds; longer requests are shortened to it. */
    private static final long MAX_LEASE_MILLIS = 6_000;

    /**
     * How long a capacity that has shrunk still counts for starts, in milliseconds, given by the
     * platform's documentation: the time without contact that is allowed, and one heartbeat.
     */
    private static final long SHRINK_GRACE_MILLIS = 5_100;

    /** The progress of a run that has done all of its work, in percent. */
    private static final long FULL_PERCENT = 100;

    /** The identifier of the worker, which it keeps when it restarts. */
    private final String id;

    /** The total resources of the worker. */
    private Resources capacity;

    /** The total resources before they were last changed. */
    private Resources formerCapacity;

    /** When the capacity was last changed, in milliseconds, or a time long past. */
    private long resizedAtMillis = Long.MIN_VALUE / 2;

    /** Whether the worker refuses a start for which it has no room. */
    private boolean guardsCapacity = true;

    /** The clock and timers of the simulation. */
    private final ProcessRuntime runtime;

    /** Determines the resources, the duration and the outcome of runs. */
    private final TaskBehaviour behaviour;

    /** Notified of each start, end and acknowledgement of a run. */
    private final RunObserver observer;

    /** The active runs by task, in the order in which they started. */
    private final Map<TaskId, SimulatedRun> activeRuns = new LinkedHashMap<>();

    /** The highest number of a stopped or ended run by task; a start must have a higher one. */
    private final Map<TaskId, Integer> highestEndedRun = new HashMap<>();

    /** The ended runs that have not been acknowledged, in the order of their sequence numbers. */
    private final List<EndedRun> endedRuns = new ArrayList<>();

    /** Whether the worker is running; false after a crash until it boots again. */
    private boolean alive;

    /** The sequence number of the run that ended last, 0 if none ended since the worker booted. */
    private long lastEndSequence;

    /** Called after a run has crashed the worker. */
    private Runnable crashListener = () -> {};

    /** The highest fencing token that a call has carried since the worker booted. */
    private long highestToken;

    /** When the lease expires on the worker's clock, in milliseconds. */
    private long leaseEndMillis;

    /** When the worker booted on the monotonic clock, in milliseconds. */
    private long bootedMillis;

    /** When the worker booted, in milliseconds since 1970. */
    private long bootUnixMillis;

    /**
     * Creates a worker and boots it.
     *
     * @param id the identifier of the worker
     * @param capacity the total resources of the worker
     * @param runtime the clock and timers of the simulation
     * @param behaviour determines the resources, the duration and the outcome of runs
     * @param observer notified of each start, end and acknowledgement of a run
     */
    public SimulatedWorker(
            String id,
            Resources capacity,
            ProcessRuntime runtime,
            TaskBehaviour behaviour,
            RunObserver observer) {
        this.id = id;
        this.capacity = capacity;
        this.formerCapacity = capacity;
        this.runtime = runtime;
        this.behaviour = behaviour;
        this.observer = observer;
        boot();
    }

    /** Crashes the worker. All active runs end without being reported to the scheduler. */
    public void crash() {
        alive = false;
        for (SimulatedRun run : new ArrayList<>(activeRuns.values())) {
            run.hasEnded = true;
            observer.ended(id, run.task, run.number, null);
        }
        activeRuns.clear();
    }

    /**
     * Crashes the worker because of a run. Does nothing if the run has ended.
     *
     * @param run the run
     */
    private void crashBy(SimulatedRun run) {
        if (!run.hasEnded) {
            observer.crashed(id, run.task);
            crash();
            crashListener.run();
        }
    }

    /** Restarts the worker with a new boot time and without any state of its previous boot. */
    public void boot() {
        crash();
        alive = true;
        highestEndedRun.clear();
        endedRuns.clear();
        lastEndSequence = 0;
        highestToken = 0;
        leaseEndMillis = 0;
        bootedMillis = runtime.nowMillis();
        bootUnixMillis = runtime.unixMillis();
    }

    /**
     * Returns whether the worker is running.
     *
     * @return true if it is, false if it has crashed and not booted again
     */
    public boolean isAlive() {
        return alive;
    }

    /**
     * Returns the identifier of the worker.
     *
     * @return the identifier
     */
    public String id() {
        return id;
    }

    /**
     * Returns the total resources of the worker.
     *
     * @return the capacity
     */
    public Resources capacity() {
        return capacity;
    }

    /**
     * Sets what happens after a run has crashed the worker.
     *
     * @param listener called after each such crash
     */
    public void onCrashByRun(Runnable listener) {
        crashListener = listener;
    }

    /**
     * Changes the total resources of the worker. Its runs go on.
     *
     * @param resources the new capacity
     */
    public void resize(Resources resources) {
        formerCapacity = capacity;
        capacity = resources;
        resizedAtMillis = runtime.nowMillis();
    }

    /** Lets the worker start whatever it is told to, also without room for it. */
    public void ignoreCapacity() {
        guardsCapacity = false;
    }

    /**
     * Returns when the worker booted.
     *
     * @return the time of the last boot, in milliseconds since 1970
     */
    public long bootUnixMillis() {
        return bootUnixMillis;
    }

    /**
     * Returns the number of active runs.
     *
     * @return the number of runs that have started and not ended
     */
    public int activeRunCount() {
        return activeRuns.size();
    }

    /**
     * Returns the resources that no active run reserves.
     *
     * @return the difference between the capacity and the reserved resources
     */
    public Resources freeResources() {
        return capacity.minus(reservedResources());
    }

    /**
     * Starts a run and extends the lease. Repeating the call for an active run has no effect.
     *
     * @param request the run to start
     * @return the reply, without an inventory
     */
    public WorkerReply start(StartRequest request) {
        if (request.fencingToken() < highestToken) {
            return reply(WorkerStatus.FENCED);
        }
        highestToken = request.fencingToken();
        SimulatedRun running = activeRuns.get(request.task());
        if (running != null && running.number == request.run()) {
            return reply(WorkerStatus.OK);
        }
        if (!behaviour.understandsStart(id, request.task())) {
            return reply(WorkerStatus.INVALID);
        }
        if (request.leaseUntilMillis() <= clockMillis()) {
            return reply(WorkerStatus.EXPIRED);
        }
        extendLease(request.leaseUntilMillis());
        if (running != null || request.run() <= highestEndedRun.getOrDefault(request.task(), 0)) {
            return reply(WorkerStatus.OLD_RUN);
        }
        Resources reserved = behaviour.reserved(request.task());
        if (guardsCapacity && !freeResources().covers(reserved)) {
            return reply(WorkerStatus.NO_ROOM);
        }
        reportOverload(request.task(), reserved);
        SimulatedRun run =
                new SimulatedRun(request.task(), request.run(), reserved, runtime.nowMillis());
        activeRuns.put(request.task(), run);
        observer.started(id, request.task(), request.run());
        observer.resumed(id, request.task(), request.run(), request.checkpoint());
        scheduleEnd(run);
        return reply(WorkerStatus.OK);
    }

    /**
     * Notifies the observer if a run does not fit the capacity, even as it was a short time ago.
     *
     * @param task the task of the run
     * @param reserved the resources that the run reserves
     */
    private void reportOverload(TaskId task, Resources reserved) {
        boolean resizedRecently = runtime.nowMillis() - resizedAtMillis <= SHRINK_GRACE_MILLIS;
        Resources used = reservedResources().plus(reserved);
        if (!capacity.covers(used) && !(resizedRecently && formerCapacity.covers(used))) {
            observer.overloaded(id, task);
        }
    }

    /**
     * Schedules the end of a run, and the crash of the worker if the run causes one.
     *
     * @param run the run
     */
    private void scheduleEnd(SimulatedRun run) {
        long duration = behaviour.durationMillis(id, run.task);
        if (duration != TaskBehaviour.RUNS_UNTIL_STOPPED) {
            runtime.schedule(duration, () -> end(run, behaviour.outcome(id, run.task)));
        }
        long crashDelay = behaviour.crashDelayMillis(run.task);
        if (crashDelay != TaskBehaviour.NEVER_CRASHES) {
            runtime.schedule(crashDelay, () -> crashBy(run));
        }
    }

    /**
     * Stops a run. If the run has not started, a later start of it is refused.
     *
     * @param task the task
     * @param run the number of the run
     * @param fencingToken the generation of the cell's owner
     * @return the reply, without an inventory
     */
    public WorkerReply stop(TaskId task, int run, long fencingToken) {
        if (fencingToken < highestToken) {
            return reply(WorkerStatus.FENCED);
        }
        highestToken = fencingToken;
        highestEndedRun.merge(task, run, Math::max);
        SimulatedRun running = activeRuns.get(task);
        if (running != null && running.number <= run) {
            runtime.schedule(STOP_DURATION_MILLIS, () -> end(running, EndKind.STOPPED));
        }
        return reply(WorkerStatus.OK);
    }

    /**
     * Extends the lease, discards the acknowledged ended runs and lists the remaining runs.
     *
     * @param request the lease and the acknowledgement
     * @return the reply, with the inventory unless the call is fenced
     */
    public WorkerReply heartbeat(HeartbeatRequest request) {
        if (request.fencingToken() < highestToken) {
            return reply(WorkerStatus.FENCED);
        }
        highestToken = request.fencingToken();
        if (request.leaseUntilMillis() != WorkerClient.LEASE_UNCHANGED) {
            extendLease(request.leaseUntilMillis());
        }
        for (EndedRun end : endedRuns) {
            if (end.sequence() <= request.acknowledgedSequence()) {
                observer.acknowledged(id, end.task(), end.run(), end.kind());
            }
        }
        endedRuns.removeIf(end -> end.sequence() <= request.acknowledgedSequence());
        List<ActiveRun> running = new ArrayList<>();
        for (SimulatedRun run : activeRuns.values()) {
            running.add(
                    new ActiveRun(
                            run.task,
                            run.number,
                            checkpoint(run),
                            progress(run),
                            behaviour.load(id, run.task)));
        }
        return new WorkerReply(
                WorkerStatus.OK,
                clockMillis(),
                bootUnixMillis,
                new Inventory(running, endedRuns),
                "");
    }

    /**
     * Returns whether any ended run has not been acknowledged.
     *
     * @return true if there is at least one
     */
    public boolean hasUnacknowledgedEnds() {
        return !endedRuns.isEmpty();
    }

    /**
     * Answers a request to throttle a run. The simulated run keeps its speed.
     *
     * @param fencingToken the generation of the cell's owner
     * @return the reply, without an inventory
     */
    public WorkerReply throttle(long fencingToken) {
        return reply(fencingToken < highestToken ? WorkerStatus.FENCED : WorkerStatus.OK);
    }

    /**
     * Computes the progress of a run from the time since its start.
     *
     * @param run the run
     * @return the progress, in percent: less than 100 for a run that ends by itself, 100 for others
     */
    private int progress(SimulatedRun run) {
        long duration = behaviour.durationMillis(id, run.task);
        long done = runtime.nowMillis() - run.startedMillis;
        return duration == TaskBehaviour.RUNS_UNTIL_STOPPED
                ? (int) FULL_PERCENT
                : (int) Math.min(FULL_PERCENT - 1, FULL_PERCENT * done / Math.max(1, duration));
    }

    /**
     * Returns the last checkpoint of a run.
     *
     * @param run the run
     * @return the checkpoint, or an empty string if the run has none yet
     */
    private String checkpoint(SimulatedRun run) {
        return behaviour.checkpoint(run.task, run.number, runtime.nowMillis() - run.startedMillis);
    }

    /**
     * Extends the lease, at most by its maximum duration. A lease is never shortened.
     *
     * @param untilMillis the requested end of the lease on the worker's clock, in milliseconds
     */
    private void extendLease(long untilMillis) {
        long leaseEnd = Math.min(untilMillis, clockMillis() + MAX_LEASE_MILLIS);
        if (leaseEnd > leaseEndMillis) {
            leaseEndMillis = leaseEnd;
            runtime.schedule(leaseEnd - clockMillis() + 1, this::endRunsIfLeaseExpired);
        }
    }

    /** Ends all active runs if the lease has expired. */
    private void endRunsIfLeaseExpired() {
        if (clockMillis() >= leaseEndMillis) {
            for (SimulatedRun run : new ArrayList<>(activeRuns.values())) {
                end(run, EndKind.LAPSED);
            }
        }
    }

    /**
     * Ends a run and adds it to the ended runs. Does nothing if it has already ended.
     *
     * @param run the run
     * @param kind why the run ended
     */
    private void end(SimulatedRun run, EndKind kind) {
        if (run.hasEnded) {
            return;
        }
        run.hasEnded = true;
        activeRuns.remove(run.task);
        highestEndedRun.merge(run.task, run.number, Math::max);
        lastEndSequence++;
        endedRuns.add(new EndedRun(lastEndSequence, run.task, run.number, kind, checkpoint(run)));
        observer.ended(id, run.task, run.number, kind);
    }

    /**
     * Returns the resources reserved by the active runs.
     *
     * @return the sum over all active runs
     */
    private Resources reservedResources() {
        Resources sum = Resources.NONE;
        for (SimulatedRun run : activeRuns.values()) {
            sum = sum.plus(run.reserved);
        }
        return sum;
    }

    /**
     * Returns the time of the worker's clock, which starts at 0 when the worker boots.
     *
     * @return the time since the boot, in milliseconds
     */
    private long clockMillis() {
        return runtime.nowMillis() - bootedMillis;
    }

    /**
     * Creates a reply without an inventory.
     *
     * @param status the status of the call
     * @return the reply
     */
    private WorkerReply reply(WorkerStatus status) {
        return new WorkerReply(status, clockMillis(), bootUnixMillis, null, status.name());
    }
}
