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
import org.damasktiller.standin.metadata.FaultPlan;

/**
 * The connections of one process to simulated workers. Each call has a network latency and the
 * fault that a {@link FaultPlan} decides for it.
 */
public final class FaultInjectingWorkerClient implements WorkerClient {

    /** The network latency in each direction, in milliseconds. */
    private static final long ONE_WAY_LATENCY_MILLIS = 2;

    /** The time after which a call without an answer fails, in milliseconds. */
    private static final long TIMEOUT_MILLIS = 600;

    /** The delay after which a late call is executed, in milliseconds. */
    private static final long LATE_CALL_DELAY_MILLIS = 3_000;

    /** The interval at which a waiting heartbeat checks for ended runs, in milliseconds. */
    private static final long POLL_INTERVAL_MILLIS = 10;

    /** The workers by identifier, shared with the simulation. */
    private final Map<String, SimulatedWorker> workers;

    /** The clock and timers of the process. */
    private final ProcessRuntime runtime;

    /** Decides which calls fail and how. */
    private final FaultPlan faults;

    /** The identifiers of the workers that no process can reach, shared with the simulation. */
    private final Set<String> unreachable;

    /** Whether the process was killed: it sends no further calls and receives no replies. */
    private boolean killed;

    /**
     * Creates the connections of a process.
     *
     * @param workers the workers by identifier
     * @param unreachable the identifiers of the workers that cannot be reached; may change later
     * @param runtime the clock and timers of the process
     * @param faults decides which calls fail and how
     */
    public FaultInjectingWorkerClient(
            Map<String, SimulatedWorker> workers,
            Set<String> unreachable,
            ProcessRuntime runtime,
            FaultPlan faults) {
        this.workers = workers;
        this.unreachable = unreachable;
        this.runtime = runtime;
        this.faults = faults;
    }

    /**
     * Creates an empty, mutable set of identifiers, such as those of unreachable workers.
     *
     * @return the set
     */
    public static Set<String> newIdSet() {
        return new HashSet<>();
    }

    /** Kills the process: it sends no further calls and receives no replies. */
    public void kill() {
        killed = true;
    }

    @Override
    public void start(WorkerAddress worker, StartRequest request, Consumer<WorkerReply> callback) {
        call("start", worker, simulatedWorker -> simulatedWorker.start(request), callback);
    }

    @Override
    public void stop(
            WorkerAddress worker,
            TaskId task,
            int run,
            long fencingToken,
            Consumer<WorkerReply> callback) {
        call(
                "stop",
                worker,
                simulatedWorker -> simulatedWorker.stop(task, run, fencingToken),
                callback);
    }

    @Override
    public void heartbeat(
            WorkerAddress worker, HeartbeatRequest request, Consumer<WorkerReply> callback) {
        SimulatedWorker simulatedWorker = workers.get(worker.id());
        long deadlineMillis = runtime.nowMillis() + request.waitMillis();
        long bootUnixMillis = simulatedWorker == null ? 0 : simulatedWorker.bootUnixMillis();
        if (simulatedWorker == null || request.waitMillis() == 0) {
            call("hold", worker, target -> target.heartbeat(request), callback);
        } else {
            call(
                    "hold",
                    worker,
                    target -> target.heartbeat(request),
                    first -> {
                        if (first.status() == WorkerStatus.OK
                                && !simulatedWorker.hasUnacknowledgedEnds()) {
                            awaitEndedRun(
                                    simulatedWorker,
                                    bootUnixMillis,
                                    deadlineMillis,
                                    worker,
                                    request,
                                    callback);
                        } else {
                            callback.accept(first);
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
            Consumer<WorkerReply> callback) {
        call("pace", worker, simulatedWorker -> simulatedWorker.throttle(fencingToken), callback);
    }

    /**
     * Waits until a worker has an unacknowledged ended run or the time is up, and then sends the
     * heartbeat again. If the worker restarts meanwhile, the connection breaks and the call fails.
     *
     * @param simulatedWorker the worker
     * @param bootUnixMillis the boot time of the worker when the call was made, in milliseconds
     *     since 1970
     * @param deadlineMillis when to stop waiting, in milliseconds
     * @param worker the address of the worker
     * @param request the heartbeat
     * @param callback receives the reply
     */
    private void awaitEndedRun(
            SimulatedWorker simulatedWorker,
            long bootUnixMillis,
            long deadlineMillis,
            WorkerAddress worker,
            HeartbeatRequest request,
            Consumer<WorkerReply> callback) {
        if (killed) {
            return;
        }
        if (simulatedWorker.bootUnixMillis() != bootUnixMillis) {
            callback.accept(
                    new WorkerReply(
                            WorkerStatus.UNKNOWN,
                            -1,
                            0,
                            null,
                            "the worker restarted and the connection broke"));
            return;
        }
        if (simulatedWorker.hasUnacknowledgedEnds() || runtime.nowMillis() >= deadlineMillis) {
            call("hold", worker, target -> target.heartbeat(request), callback);
        } else {
            runtime.schedule(
                    POLL_INTERVAL_MILLIS,
                    () ->
                            awaitEndedRun(
                                    simulatedWorker,
                                    bootUnixMillis,
                                    deadlineMillis,
                                    worker,
                                    request,
                                    callback));
        }
    }

    /**
     * Makes a call, with the fault that the plan decides for it.
     *
     * @param name the kind of the call, by which the plan decides
     * @param worker the address of the worker
     * @param operation executes the call on the worker
     * @param callback receives the reply
     */
    private void call(
            String name,
            WorkerAddress worker,
            Function<SimulatedWorker, WorkerReply> operation,
            Consumer<WorkerReply> callback) {
        if (killed) {
            return;
        }
        SimulatedWorker simulatedWorker = workers.get(worker.id());
        if (simulatedWorker == null || unreachable.contains(worker.id())) {
            failAfterTimeout(callback);
            return;
        }
        switch (faults.faultFor(name)) {
            case ANSWERED ->
                    runtime.schedule(
                            ONE_WAY_LATENCY_MILLIS,
                            () -> {
                                if (unreachable.contains(worker.id())) {
                                    failAfterTimeout(callback);
                                } else {
                                    deliver(operation.apply(simulatedWorker), callback);
                                }
                            });
            case REFUSED -> deliver(failed(WorkerStatus.BUSY), callback);
            case LOST -> failAfterTimeout(callback);
            case ANSWER_LOST -> {
                runtime.schedule(
                        ONE_WAY_LATENCY_MILLIS, () -> deliverRequest(simulatedWorker, operation));
                failAfterTimeout(callback);
            }
            default -> {
                runtime.schedule(
                        LATE_CALL_DELAY_MILLIS, () -> deliverRequest(simulatedWorker, operation));
                failAfterTimeout(callback);
            }
        }
    }

    /**
     * Delivers a request whose answer the caller does not get. A worker that has crashed and has
     * not booted again carries nothing out.
     *
     * @param worker the worker
     * @param operation executes the call on the worker
     */
    private static void deliverRequest(
            SimulatedWorker worker, Function<SimulatedWorker, WorkerReply> operation) {
        if (worker.isAlive()) {
            WorkerReply unused = operation.apply(worker);
        }
    }

    /**
     * Fails a call with status UNKNOWN after the timeout.
     *
     * @param callback receives the reply
     */
    private void failAfterTimeout(Consumer<WorkerReply> callback) {
        runtime.schedule(TIMEOUT_MILLIS, () -> deliver(failed(WorkerStatus.UNKNOWN), callback));
    }

    /**
     * Delivers a reply after the network latency, unless the process is killed before it arrives.
     *
     * @param reply the reply
     * @param callback receives the reply
     */
    private void deliver(WorkerReply reply, Consumer<WorkerReply> callback) {
        runtime.schedule(
                ONE_WAY_LATENCY_MILLIS,
                () -> {
                    if (!killed) {
                        callback.accept(reply);
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
