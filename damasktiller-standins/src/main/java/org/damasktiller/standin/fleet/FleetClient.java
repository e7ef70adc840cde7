package org.damasktiller.standin.fleet;

import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;
import java.util.function.Function;
import org.damasktiller.scheduler.model.TaskId;
import org.damasktiller.scheduler.port.HeartbeatRequest;
import org.damasktiller.scheduler.port.ProcessRuntime;
import org.damasktiller.scheduler.port.StartRequest;
import org.damasktiller.scheduler.port.WorkerAddress;
import org.damasktiller.scheduler.port.WorkerClient;
import org.damasktiller.scheduler.port.WorkerReply;
import org.damasktiller.scheduler.port.WorkerStatus;
import org.damasktiller.standin.metadata.FatePlan;

/**
 * The connections of one process to simulated workers. Calls take time, and a plan decides which of
 * them fail and how.
 */
public final class FleetClient implements WorkerClient {

    /** The network latency in each direction, in milliseconds. */
    private static final long ONE_WAY_MILLIS = 2;

    /** The time after which a call without an answer fails, in milliseconds. */
    private static final long TIMEOUT_MILLIS = 600;

    /** The delay after which a late call is executed, in milliseconds. */
    private static final long LATE_MILLIS = 3_000;

    /** The interval at which a waiting heartbeat checks for ended runs, in milliseconds. */
    private static final long POLL_MILLIS = 10;

    /** The workers by identifier, shared with the simulation. */
    private final Map<String, WorkerModel> workers;

    /** The clock and timers of the process. */
    private final ProcessRuntime runtime;

    /** Decides which calls fail and how. */
    private final FatePlan fates;

    /** The identifiers of the workers that no process can reach, shared with the simulation. */
    private final Set<String> cut;

    /** Whether the process was killed: it sends no further calls and receives no replies. */
    private boolean dead;

    /**
     * Creates the connections of a process.
     *
     * @param workers the workers by identifier
     * @param cut the identifiers of the workers that cannot be reached; may change later
     * @param runtime the clock and timers of the process
     * @param fates decides which calls fail and how
     */
    public FleetClient(
            Map<String, WorkerModel> workers,
            Set<String> cut,
            ProcessRuntime runtime,
            FatePlan fates) {
        this.workers = workers;
        this.cut = cut;
        this.runtime = runtime;
        this.fates = fates;
    }

    /**
     * Creates an empty, mutable set of identifiers, such as those of unreachable workers.
     *
     * @return the set
     */
    public static Set<String> nothingCut() {
        return new HashSet<>();
    }

    /** Kills the process: it sends no further calls and receives no replies. */
    public void kill() {
        dead = true;
    }

    @Override
    public void start(WorkerAddress worker, StartRequest order, Consumer<WorkerReply> answer) {
        call("start", worker, model -> model.start(order), answer);
    }

    @Override
    public void stop(
            WorkerAddress worker,
            TaskId task,
            int run,
            long fencingToken,
            Consumer<WorkerReply> answer) {
        call("stop", worker, model -> model.stop(task, run, fencingToken), answer);
    }

    @Override
    public void heartbeat(
            WorkerAddress worker, HeartbeatRequest order, Consumer<WorkerReply> answer) {
        WorkerModel model = workers.get(worker.id());
        long latest = runtime.nowMillis() + order.waitMillis();
        long born = model == null ? 0 : model.bootUnixMillis();
        if (model == null || order.waitMillis() == 0) {
            call("hold", worker, target -> target.heartbeat(order), answer);
        } else {
            call(
                    "hold",
                    worker,
                    target -> target.heartbeat(order),
                    first -> {
                        if (first.status() == WorkerStatus.OK && !model.hasEnds()) {
                            await(model, born, latest, worker, order, answer);
                        } else {
                            answer.accept(first);
                        }
                    });
        }
    }

    @Override
    public void throttle(
            WorkerAddress worker,
            TaskId task,
            int run,
            int percent,
            long fencingToken,
            Consumer<WorkerReply> answer) {
        call("pace", worker, model -> model.throttle(fencingToken), answer);
    }

    /**
     * Waits until a worker has an unacknowledged ended run or the time is up, and then sends the
     * heartbeat again. If the worker restarts meanwhile, the connection breaks and the call fails.
     *
     * @param model the worker
     * @param born the boot time of the worker when the call was made, in milliseconds since 1970
     * @param latestMillis when to stop waiting, in milliseconds
     * @param worker the address of the worker
     * @param order the heartbeat
     * @param answer receives the reply
     */
    private void await(
            WorkerModel model,
            long born,
            long latestMillis,
            WorkerAddress worker,
            HeartbeatRequest order,
            Consumer<WorkerReply> answer) {
        if (dead) {
            return;
        }
        if (model.bootUnixMillis() != born) {
            answer.accept(
                    new WorkerReply(
                            WorkerStatus.UNKNOWN,
                            -1,
                            0,
                            null,
                            "the worker restarted and the connection broke"));
            return;
        }
        if (model.hasEnds() || runtime.nowMillis() >= latestMillis) {
            call("hold", worker, target -> target.heartbeat(order), answer);
        } else {
            runtime.schedule(
                    POLL_MILLIS, () -> await(model, born, latestMillis, worker, order, answer));
        }
    }

    /**
     * Makes a call, with the fault that the plan decides for it.
     *
     * @param name the kind of the call, by which the plan decides
     * @param worker the address of the worker
     * @param effect executes the call on the worker
     * @param answer receives the reply
     */
    private void call(
            String name,
            WorkerAddress worker,
            Function<WorkerModel, WorkerReply> effect,
            Consumer<WorkerReply> answer) {
        if (dead) {
            return;
        }
        WorkerModel model = workers.get(worker.id());
        if (model == null || cut.contains(worker.id())) {
            timeOut(answer);
            return;
        }
        switch (fates.decide(name)) {
            case ANSWERED ->
                    runtime.schedule(
                            ONE_WAY_MILLIS,
                            () -> {
                                if (cut.contains(worker.id())) {
                                    timeOut(answer);
                                } else {
                                    deliver(effect.apply(model), answer);
                                }
                            });
            case REFUSED -> deliver(failed(WorkerStatus.BUSY), answer);
            case LOST -> timeOut(answer);
            case ANSWER_LOST -> {
                runtime.schedule(
                        ONE_WAY_MILLIS,
                        () -> {
                            WorkerReply unused = effect.apply(model);
                        });
                timeOut(answer);
            }
            default -> {
                runtime.schedule(
                        LATE_MILLIS,
                        () -> {
                            WorkerReply unused = effect.apply(model);
                        });
                timeOut(answer);
            }
        }
    }

    /**
     * Fails a call with status UNKNOWN after the timeout.
     *
     * @param answer receives the reply
     */
    private void timeOut(Consumer<WorkerReply> answer) {
        runtime.schedule(TIMEOUT_MILLIS, () -> deliver(failed(WorkerStatus.UNKNOWN), answer));
    }

    /**
     * Delivers a reply after the network latency, unless the process is killed before it arrives.
     *
     * @param reply the reply
     * @param answer receives the reply
     */
    private void deliver(WorkerReply reply, Consumer<WorkerReply> answer) {
        runtime.schedule(
                ONE_WAY_MILLIS,
                () -> {
                    if (!dead) {
                        answer.accept(reply);
                    }
                });
    }

    /**
     * Creates the reply to a call that the worker did not answer.
     *
     * @param status the status of the call
     * @return the reply
     */
    private static WorkerReply failed(WorkerStatus status) {
        return new WorkerReply(status, -1, 0, null, status.name());
    }
}
