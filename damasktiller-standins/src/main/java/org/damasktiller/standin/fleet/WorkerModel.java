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
public final class WorkerModel {

    /** The time that a run needs to stop, in milliseconds. */
    private static final long STOP_MILLIS = 200;

    /** The maximum duration of a lease, in milliseconds; longer requests are shortened to it. */
    private static final long LONGEST_LEASE_MILLIS = 6_000;

    /** The progress of a run that has done all of its work, in percent. */
    private static final long FULL_PERCENT = 100;

    /** The identifier of the worker, which it keeps when it restarts. */
    private final String id;

    /** The total resources of the worker. */
    private final Resources capacity;

    /** The clock and timers of the simulation. */
    private final ProcessRuntime runtime;

    /** Determines the resources, the duration and the outcome of runs. */
    private final TaskBehaviour behaviour;

    /** Notified of each start, end and acknowledgement of a run. */
    private final RunObserver observer;

    /** The active runs by task, in the order in which they started. */
    private final Map<TaskId, Active> active = new LinkedHashMap<>();

    /** The highest number of a stopped or ended run by task; starts of lower runs are refused. */
    private final Map<TaskId, Integer> highest = new HashMap<>();

    /** The ended runs that have not been acknowledged, in the order of their sequence numbers. */
    private final List<EndedRun> ends = new ArrayList<>();

    /** Whether the worker is running; false after a crash until it boots again. */
    private boolean alive;

    /** The sequence number of the run that ended last, 0 if none ended since the worker booted. */
    private long lastEnd;

    /** The highest fencing token that a call has carried since the worker booted. */
    private long token;

    /** When the lease expires on the worker's clock, in milliseconds. */
    private long leaseEndMillis;

    /** When the worker booted on the monotonic clock, in milliseconds. */
    private long bootMillis;

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
    public WorkerModel(
            String id,
            Resources capacity,
            ProcessRuntime runtime,
            TaskBehaviour behaviour,
            RunObserver observer) {
        this.id = id;
        this.capacity = capacity;
        this.runtime = runtime;
        this.behaviour = behaviour;
        this.observer = observer;
        boot();
    }

    /** Crashes the worker. All active runs end without being reported to the scheduler. */
    public void crash() {
        alive = false;
        for (Active run : new ArrayList<>(active.values())) {
            run.over = true;
            observer.ended(id, run.task, run.number, null);
        }
        active.clear();
    }

    /** Restarts the worker with a new boot time and without any state of its previous boot. */
    public void boot() {
        crash();
        alive = true;
        highest.clear();
        ends.clear();
        lastEnd = 0;
        token = 0;
        leaseEndMillis = 0;
        bootMillis = runtime.nowMillis();
        bootUnixMillis = runtime.unixMillis();
    }

    /**
     * Returns whether the worker is running.
     *
     * @return true if it is, false if it has crashed and not booted again
     */
    public boolean alive() {
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
    public int activeRuns() {
        return active.size();
    }

    /**
     * Starts a run and extends the lease. Repeating the call for an active run has no effect.
     *
     * @param order the run to start
     * @return the reply, without an inventory
     */
    public WorkerReply start(StartRequest order) {
        if (order.fencingToken() < token) {
            return reply(WorkerStatus.FENCED);
        }
        token = order.fencingToken();
        Active running = active.get(order.task());
        if (running != null && running.number == order.run()) {
            return reply(WorkerStatus.OK);
        }
        if (order.leaseUntilMillis() <= clock()) {
            return reply(WorkerStatus.EXPIRED);
        }
        lengthen(order.leaseUntilMillis());
        if (running != null || order.run() <= highest.getOrDefault(order.task(), 0)) {
            return reply(WorkerStatus.OLD_RUN);
        }
        Resources need = behaviour.reserved(order.task());
        if (!capacity.minus(used()).covers(need)) {
            return reply(WorkerStatus.NO_ROOM);
        }
        Active run = new Active(order.task(), order.run(), need, runtime.nowMillis());
        active.put(order.task(), run);
        observer.started(id, order.task(), order.run());
        long work = behaviour.workMillis(id, order.task());
        if (work != TaskBehaviour.LASTS) {
            runtime.schedule(work, () -> end(run, behaviour.end(id, order.task())));
        }
        return reply(WorkerStatus.OK);
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
        if (fencingToken < token) {
            return reply(WorkerStatus.FENCED);
        }
        token = fencingToken;
        highest.merge(task, run, Math::max);
        Active running = active.get(task);
        if (running != null && running.number <= run) {
            runtime.schedule(STOP_MILLIS, () -> end(running, EndKind.STOPPED));
        }
        return reply(WorkerStatus.OK);
    }

    /**
     * Extends the lease, discards the acknowledged ended runs and lists the remaining runs.
     *
     * @param order the lease and the acknowledgement
     * @return the reply, with the inventory unless the call is fenced
     */
    public WorkerReply heartbeat(HeartbeatRequest order) {
        if (order.fencingToken() < token) {
            return reply(WorkerStatus.FENCED);
        }
        token = order.fencingToken();
        if (order.leaseUntilMillis() != WorkerClient.LEASE_UNCHANGED) {
            lengthen(order.leaseUntilMillis());
        }
        for (EndedRun end : ends) {
            if (end.sequence() <= order.acknowledgedSequence()) {
                observer.acknowledged(id, end.task(), end.run(), end.kind());
            }
        }
        ends.removeIf(end -> end.sequence() <= order.acknowledgedSequence());
        List<ActiveRun> running = new ArrayList<>();
        for (Active run : active.values()) {
            running.add(new ActiveRun(run.task, run.number, "", progress(run), 0));
        }
        return new WorkerReply(
                WorkerStatus.OK, clock(), bootUnixMillis, new Inventory(running, ends), "");
    }

    /**
     * Returns whether any ended run has not been acknowledged.
     *
     * @return true if there is at least one
     */
    public boolean hasEnds() {
        return !ends.isEmpty();
    }

    /**
     * Answers a request to throttle a run. The simulated run keeps its speed.
     *
     * @param fencingToken the generation of the cell's owner
     * @return the reply, without an inventory
     */
    public WorkerReply throttle(long fencingToken) {
        return reply(fencingToken < token ? WorkerStatus.FENCED : WorkerStatus.OK);
    }

    /**
     * Computes the progress of a run from the time since its start.
     *
     * @param run the run
     * @return the progress, in percent: less than 100 for a run that ends by itself, 100 for others
     */
    private int progress(Active run) {
        long work = behaviour.workMillis(id, run.task);
        long done = runtime.nowMillis() - run.sinceMillis;
        return work == TaskBehaviour.LASTS
                ? (int) FULL_PERCENT
                : (int) Math.min(FULL_PERCENT - 1, FULL_PERCENT * done / Math.max(1, work));
    }

    /**
     * Extends the lease, at most by its maximum duration. A lease is never shortened.
     *
     * @param untilMillis the requested end of the lease on the worker's clock, in milliseconds
     */
    private void lengthen(long untilMillis) {
        long bounded = Math.min(untilMillis, clock() + LONGEST_LEASE_MILLIS);
        if (bounded > leaseEndMillis) {
            leaseEndMillis = bounded;
            runtime.schedule(bounded - clock() + 1, this::lapse);
        }
    }

    /** Ends all active runs if the lease has expired. */
    private void lapse() {
        if (clock() >= leaseEndMillis) {
            for (Active run : new ArrayList<>(active.values())) {
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
    private void end(Active run, EndKind kind) {
        if (run.over) {
            return;
        }
        run.over = true;
        active.remove(run.task);
        highest.merge(run.task, run.number, Math::max);
        lastEnd++;
        ends.add(new EndedRun(lastEnd, run.task, run.number, kind, ""));
        observer.ended(id, run.task, run.number, kind);
    }

    /**
     * Returns the resources reserved by the active runs.
     *
     * @return the sum over all active runs
     */
    private Resources used() {
        Resources sum = Resources.NONE;
        for (Active run : active.values()) {
            sum = sum.plus(run.need);
        }
        return sum;
    }

    /**
     * Returns the time of the worker's clock, which starts at 0 when the worker boots.
     *
     * @return the time since the boot, in milliseconds
     */
    private long clock() {
        return runtime.nowMillis() - bootMillis;
    }

    /**
     * Creates a reply without an inventory.
     *
     * @param status the status of the call
     * @return the reply
     */
    private WorkerReply reply(WorkerStatus status) {
        return new WorkerReply(status, clock(), bootUnixMillis, null, status.name());
    }

    /** A run that the worker executes. */
    private static final class Active {

        /** The task. */
        private final TaskId task;

        /** The number of the run among the runs of the task. */
        private final int number;

        /** The resources that the run reserves. */
        private final Resources need;

        /** When the run started on the monotonic clock, in milliseconds. */
        private final long sinceMillis;

        /** Whether the run has ended, so that scheduled events must ignore it. */
        private boolean over;

        /**
         * Creates an active run.
         *
         * @param task the task
         * @param number the number of the run among the runs of the task
         * @param need the resources that the run reserves
         * @param sinceMillis when the run started on the monotonic clock, in milliseconds
         */
        Active(TaskId task, int number, Resources need, long sinceMillis) {
            this.task = task;
            this.number = number;
            this.need = need;
            this.sinceMillis = sinceMillis;
        }
    }
}
