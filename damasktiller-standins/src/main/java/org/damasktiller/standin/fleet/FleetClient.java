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

/** One process's connections to simulated workers, with delay and faults. */
public final class FleetClient implements WorkerClient {

    /** How long a call takes each way, in milliseconds. */
    private static final long ONE_WAY_MILLIS = 2;

    /** How long a client waits for an answer, in milliseconds. */
    private static final long TIMEOUT_MILLIS = 600;

    /** How late a late order is carried out, in milliseconds. */
    private static final long LATE_MILLIS = 3_000;

    /** The time between two looks of a hold that waits, in milliseconds. */
    private static final long POLL_MILLIS = 10;

    /** The workers by identifier. */
    private final Map<String, WorkerModel> workers;

    /** The clock and the timers. */
    private final ProcessRuntime runtime;

    /** Decides what becomes of calls. */
    private final FatePlan fates;

    /** The workers that can't be reached by anyone. */
    private final Set<String> cut;

    /** Whether the process is dead. */
    private boolean dead;

    /**
     * Creates connections.
     *
     * @param workers the workers by identifier
     * @param cut the workers that can't be reached
     * @param runtime the clock and the timers
     * @param fates decides what becomes of calls
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
     * Makes an empty set of workers that can't be reached.
     *
     * @return the set
     */
    public static Set<String> nothingCut() {
        return new HashSet<>();
    }

    /** Ends the process that has these connections. */
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
     * Waits until a worker has ends or the time is over, and then lists what it runs. A worker that
     * begins a new life breaks the call off.
     *
     * @param model the worker
     * @param born when the life that was asked began, in milliseconds since 1970
     * @param latestMillis until when to wait, in milliseconds
     * @param worker the worker's name
     * @param order the order
     * @param answer takes the reply
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
                    new WorkerReply(WorkerStatus.UNKNOWN, -1, 0, null, "connection broken off"));
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
     * Makes a call.
     *
     * @param name the kind of the call
     * @param worker the worker
     * @param effect carries it out
     * @param answer takes the reply
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
     * Ends a call without an answer.
     *
     * @param answer takes the reply
     */
    private void timeOut(Consumer<WorkerReply> answer) {
        runtime.schedule(TIMEOUT_MILLIS, () -> deliver(failed(WorkerStatus.UNKNOWN), answer));
    }

    /**
     * Delivers a reply.
     *
     * @param reply the reply
     * @param answer takes it
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
     * Makes the reply of a call that failed.
     *
     * @param status how it ended
     * @return the reply
     */
    private static WorkerReply failed(WorkerStatus status) {
        return new WorkerReply(status, -1, 0, null, status.name());
    }
}
