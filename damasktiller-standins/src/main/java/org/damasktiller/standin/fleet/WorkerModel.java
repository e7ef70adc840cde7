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
 * One worker: it keeps the highest fencing token, the lease, the active runs and the ends that have
 * not been acknowledged. Calls take effect at once and in order.
 */
public final class WorkerModel {

    /** How long a stop takes, in milliseconds. */
    private static final long STOP_MILLIS = 200;

    /** The longest lease, in milliseconds. */
    private static final long LONGEST_LEASE_MILLIS = 6_000;

    /** The full progress, in percent. */
    private static final long FULL_PERCENT = 100;

    /** The identifier. */
    private final String id;

    /** What the worker has. */
    private final Resources capacity;

    /** The clock and the timers. */
    private final ProcessRuntime runtime;

    /** Tells how the tasks behave. */
    private final TaskBehaviour behaviour;

    /** Told of each start and end. */
    private final RunObserver observer;

    /** The active runs. */
    private final Map<TaskId, Active> active = new LinkedHashMap<>();

    /** The highest run that was stopped or ended, by task. */
    private final Map<TaskId, Integer> highest = new HashMap<>();

    /** The ends that have not been acknowledged. */
    private final List<EndedRun> ends = new ArrayList<>();

    /** Whether the worker is alive. */
    private boolean alive;

    /** The number of the last end. */
    private long lastEnd;

    /** The highest fencing token seen. */
    private long token;

    /** The end of the lease on the worker's clock, in milliseconds. */
    private long leaseEndMillis;

    /** When this boot began on the steady clock, in milliseconds. */
    private long bootMillis;

    /** When this boot began, in milliseconds since 1970. */
    private long bootUnixMillis;

    /**
     * Creates a worker that has just booted.
     *
     * @param id the identifier
     * @param capacity what it has
     * @param runtime the clock and the timers
     * @param behaviour tells how the tasks behave
     * @param observer told of each start and end
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

    /** Ends at once, as by a crash: everything that runs is over, and nothing is answered. */
    public void crash() {
        alive = false;
        for (Active run : new ArrayList<>(active.values())) {
            run.over = true;
            observer.ended(id, run.task, run.number, null);
        }
        active.clear();
    }

    /** Begins a new life: nothing of before is known. */
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
     * Tells whether the worker is alive.
     *
     * @return whether it is
     */
    public boolean alive() {
        return alive;
    }

    /**
     * Returns the identifier.
     *
     * @return the identifier
     */
    public String id() {
        return id;
    }

    /**
     * Returns what the worker has.
     *
     * @return the capacity
     */
    public Resources capacity() {
        return capacity;
    }

    /**
     * Returns when the present boot began.
     *
     * @return milliseconds since 1970
     */
    public long bootUnixMillis() {
        return bootUnixMillis;
    }

    /**
     * Returns the number of active runs.
     *
     * @return the number
     */
    public int activeRuns() {
        return active.size();
    }

    /**
     * Starts a run.
     *
     * @param order the order
     * @return the reply
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
     * Stops a run; one that is not there is refused from then on.
     *
     * @param task the task
     * @param run the number of the run
     * @param fencingToken the token
     * @return the reply
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
     * Lengthens the lease and lists what the worker runs.
     *
     * @param order the order
     * @return the reply
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
     * Tells whether an end has not been acknowledged.
     *
     * @return whether there is one
     */
    public boolean hasEnds() {
        return !ends.isEmpty();
    }

    /**
     * Answers an order to change a share, which the model does not follow.
     *
     * @param fencingToken the token
     * @return the reply
     */
    public WorkerReply throttle(long fencingToken) {
        return reply(fencingToken < token ? WorkerStatus.FENCED : WorkerStatus.OK);
    }

    /**
     * Returns how much of its work a run has done.
     *
     * @param run the run
     * @return the progress, in percent
     */
    private int progress(Active run) {
        long work = behaviour.workMillis(id, run.task);
        long done = runtime.nowMillis() - run.sinceMillis;
        return work == TaskBehaviour.LASTS
                ? (int) FULL_PERCENT
                : (int) Math.min(FULL_PERCENT - 1, FULL_PERCENT * done / Math.max(1, work));
    }

    /**
     * Lengthens the lease.
     *
     * @param untilMillis the end asked for, on the worker's clock, in milliseconds
     */
    private void lengthen(long untilMillis) {
        long bounded = Math.min(untilMillis, clock() + LONGEST_LEASE_MILLIS);
        if (bounded > leaseEndMillis) {
            leaseEndMillis = bounded;
            runtime.schedule(bounded - clock() + 1, this::lapse);
        }
    }

    /** Ends everything if the lease is over. */
    private void lapse() {
        if (clock() >= leaseEndMillis) {
            for (Active run : new ArrayList<>(active.values())) {
                end(run, EndKind.LAPSED);
            }
        }
    }

    /**
     * Ends a run.
     *
     * @param run the run
     * @param kind how
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
     * Returns what the active runs take.
     *
     * @return the sum
     */
    private Resources used() {
        Resources sum = Resources.NONE;
        for (Active run : active.values()) {
            sum = sum.plus(run.need);
        }
        return sum;
    }

    /**
     * Returns the worker's clock.
     *
     * @return the time since the boot, in milliseconds
     */
    private long clock() {
        return runtime.nowMillis() - bootMillis;
    }

    /**
     * Makes a reply without an inventory.
     *
     * @param status how the call ended
     * @return the reply
     */
    private WorkerReply reply(WorkerStatus status) {
        return new WorkerReply(status, clock(), bootUnixMillis, null, status.name());
    }

    /** An active run. */
    private static final class Active {

        /** The task. */
        private final TaskId task;

        /** The number of the run. */
        private final int number;

        /** What it takes. */
        private final Resources need;

        /** When it started, in milliseconds. */
        private final long sinceMillis;

        /** Whether it has ended. */
        private boolean over;

        /**
         * Creates a run.
         *
         * @param task the task
         * @param number the number
         * @param need what it takes
         * @param sinceMillis when it started, in milliseconds
         */
        Active(TaskId task, int number, Resources need, long sinceMillis) {
            this.task = task;
            this.number = number;
            this.need = need;
            this.sinceMillis = sinceMillis;
        }
    }
}
