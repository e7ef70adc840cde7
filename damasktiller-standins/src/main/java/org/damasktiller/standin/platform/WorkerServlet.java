package org.damasktiller.standin.platform;

import io.activej.http.AsyncServlet;
import io.activej.http.HttpMethod;
import io.activej.http.RoutingServlet;
import io.activej.reactor.Reactor;
import java.util.Map;
import org.damasktiller.error.DamasktillerException;
import org.damasktiller.error.ErrorCode;
import org.damasktiller.error.Outcome;
import org.damasktiller.error.Step;
import org.damasktiller.identity.WorkerId;
import org.damasktiller.standin.client.worker.HttpWorkerClient;
import org.damasktiller.standin.http.Json;
import org.damasktiller.standin.http.JsonResponses;
import org.damasktiller.standin.http.JsonServlets;
import org.damasktiller.standin.worker.WorkerState;
import org.damasktiller.worker.WorkerAnswer;
import org.damasktiller.worker.WorkerCommand;

/** Serves stand-in workers over HTTP, each under its name. */
public final class WorkerServlet {

    /** The largest command accepted, in bytes. */
    private static final int MAXIMUM_COMMAND_BYTES = 4 << 20;

    /** The name of the path's parameter. */
    private static final String WORKER_PARAMETER = "worker";

    /** How often the tasks advance by themselves, in milliseconds. */
    private static final long ADVANCE_INTERVAL_MILLIS = 20;

    /** Prevents instantiation. */
    private WorkerServlet() {}

    /**
     * Makes the servlet and starts to advance the workers' tasks with the reactor's clock.
     *
     * @param reactor the reactor that serves
     * @param workers the workers by name
     * @return the servlet
     */
    public static AsyncServlet create(Reactor reactor, Map<WorkerId, WorkerState> workers) {
        scheduleAdvance(reactor, workers);
        return RoutingServlet.builder(reactor)
                .with(
                        HttpMethod.POST,
                        HttpWorkerClient.PATH + ":" + WORKER_PARAMETER,
                        request -> {
                            WorkerId name =
                                    new WorkerId(request.getPathParameter(WORKER_PARAMETER));
                            return JsonServlets.body(request, MAXIMUM_COMMAND_BYTES)
                                    .map(bytes -> carryOut(reactor, find(workers, name), bytes))
                                    .map(JsonResponses::ok, JsonResponses::error);
                        })
                .build();
    }

    /**
     * Advances the tasks now and again after the interval.
     *
     * @param reactor the reactor
     * @param workers the workers
     */
    private static void scheduleAdvance(Reactor reactor, Map<WorkerId, WorkerState> workers) {
        long nowMillis = reactor.currentTimeMillis();
        workers.values().forEach(worker -> worker.advance(nowMillis));
        reactor.delayBackground(ADVANCE_INTERVAL_MILLIS, () -> scheduleAdvance(reactor, workers));
    }

    /**
     * Carries out one command.
     *
     * @param reactor the reactor that gives the time
     * @param worker the worker
     * @param bytes the command as a JSON text
     * @return the answer
     */
    private static WorkerAnswer carryOut(Reactor reactor, WorkerState worker, byte[] bytes) {
        WorkerCommand command = Json.read(bytes, WorkerCommand.class, Step.COMMAND, "");
        return worker.handle(command, reactor.currentTimeMillis());
    }

    /**
     * Finds a worker.
     *
     * @param workers the workers
     * @param name the name
     * @return the worker
     */
    private static WorkerState find(Map<WorkerId, WorkerState> workers, WorkerId name) {
        WorkerState worker = workers.get(name);
        if (worker == null) {
            throw new DamasktillerException(
                    ErrorCode.BAD_REQUEST,
                    Step.COMMAND,
                    name.value(),
                    Outcome.NOT_RUN,
                    "no such worker");
        }
        return worker;
    }
}
