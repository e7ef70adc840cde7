package org.damasktiller.daemon.gateway;

import io.activej.common.time.CurrentTimeProvider;
import io.activej.http.HttpException;
import io.activej.http.HttpHeaders;
import io.activej.http.HttpRequest;
import io.activej.reactor.nio.NioReactor;
import io.activej.reactor.schedule.ScheduledRunnable;
import java.util.ArrayDeque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.function.Consumer;
import org.damasktiller.daemon.metrics.WorkMetrics;
import org.damasktiller.identity.EndpointId;
import org.damasktiller.routing.AttemptOutcome;
import org.damasktiller.routing.ClaimOutcome;
import org.damasktiller.routing.RequestRouter;
import org.damasktiller.routing.RoutingAction;
import org.damasktiller.routing.RoutingRequest;
import org.damasktiller.standin.http.CallHeaders;
import org.damasktiller.standin.http.JsonResponses;
import org.jspecify.annotations.Nullable;

/**
 * Carries out the actions of a {@link RequestRouter} and hands it the events that follow. Used on
 * its reactor's thread only.
 */
final class CallDispatcher {

    /** The path of a call before the kind. */
    private static final String PATH_START = "/v1/call/";

    /** The outcome counted for a whole answer. */
    private static final String ANSWERED = "answered";

    /** The calls that are not answered, by number. */
    private final Map<Long, Call> calls = new HashMap<>();

    /** The steps that are not carried out yet, in order. */
    private final ArrayDeque<Runnable> steps = new ArrayDeque<>();

    /** The reactor. */
    private final NioReactor reactor;

    /** The clock. */
    private final CurrentTimeProvider clock;

    /** Decides. */
    private final RequestRouter router;

    /** The connections to endpoints. */
    private final EndpointConnections connections;

    /** Claims the keys of at-most-once requests. */
    private final ClaimGate claimGate;

    /** Receives the endpoints seen to be leaving. */
    private final Consumer<EndpointId> leavingListener;

    /** The metrics. */
    private final WorkMetrics metrics;

    /** Whether actions are being carried out. */
    private boolean running;

    /** The timer of the router, or null. */
    private @Nullable ScheduledRunnable timer;

    /**
     * Creates a dispatcher without calls.
     *
     * @param builder the parts of the gateway
     * @param connections the connections to endpoints
     */
    CallDispatcher(InteractiveGateway.Builder builder, EndpointConnections connections) {
        this.reactor = builder.reactor;
        this.clock = builder.clock;
        this.router = builder.router;
        this.connections = connections;
        this.claimGate = builder.claimGate;
        this.leavingListener = builder.leavingListener;
        this.metrics = new WorkMetrics(builder.registry);
    }

    /**
     * Takes up a call.
     *
     * @param call the call
     * @param nowMillis the time, in milliseconds
     */
    void begin(Call call, long nowMillis) {
        calls.put(call.request().number(), call);
        run(router.submit(call.request(), nowMillis));
    }

    /**
     * Carries out actions in their order. Actions that arise meanwhile come after them.
     *
     * @param added the actions
     */
    void run(List<RoutingAction> added) {
        run(added, null);
    }

    /**
     * Carries out actions in their order.
     *
     * @param added the actions
     * @param answer the answer that a {@link RoutingAction.Deliver} among them hands on, or null
     */
    private void run(List<RoutingAction> added, @Nullable Answer answer) {
        for (RoutingAction action : added) {
            steps.add(() -> perform(action, answer));
        }
        if (running) {
            return;
        }
        running = true;
        try {
            while (!steps.isEmpty()) {
                steps.removeFirst().run();
            }
        } finally {
            running = false;
        }
        setTimer();
    }

    /**
     * Carries out one action.
     *
     * @param action the action
     * @param answer the answer to hand on, or null
     */
    private void perform(RoutingAction action, @Nullable Answer answer) {
        if (action instanceof RoutingAction.Send send) {
            send(send);
        } else if (action instanceof RoutingAction.Claim claim) {
            claim(claim);
        } else if (action instanceof RoutingAction.Abort abort) {
            abort(abort);
        } else if (action instanceof RoutingAction.Refuse refuse) {
            refuse(refuse);
        } else if (action instanceof RoutingAction.Deliver deliver && answer != null) {
            deliver(deliver.number(), answer);
        } else if (action instanceof RoutingAction.ReportLeaving leaving) {
            leavingListener.accept(leaving.endpoint());
        }
    }

    /**
     * Sends a request to an endpoint.
     *
     * @param send what to send where
     */
    private void send(RoutingAction.Send send) {
        Call call = calls.get(send.number());
        EndpointConnection connection = connections.take(send.endpoint());
        if (call == null || connection == null) {
            completed(send, AttemptResult.without(AttemptOutcome.NOT_SENT));
            return;
        }
        long now = clock.currentTimeMillis();
        call.attempts().put(send.attempt(), connection);
        String attempt = send.number() + "-" + send.attempt();
        connection
                .send(request(call, send, attempt, now), attempt, now)
                .whenResult(
                        result -> {
                            if (result.streamed() == null) {
                                ended(call, send, connection, result);
                            } else {
                                stream(call, send, connection, result);
                            }
                        });
    }

    /**
     * Hands on an answer whose body still streams; the attempt ends with the body.
     *
     * @param call the call
     * @param send the attempt
     * @param connection its connection
     * @param result the answer
     */
    private void stream(
            Call call,
            RoutingAction.Send send,
            EndpointConnection connection,
            AttemptResult result) {
        long now = clock.currentTimeMillis();
        List<RoutingAction> next = router.answering(send.number(), send.attempt(), now);
        Objects.requireNonNull(result.streamed())
                .whenResult(
                        whole -> {
                            if (!whole) {
                                connection.close();
                            }
                            ended(
                                    call,
                                    send,
                                    connection,
                                    AttemptResult.without(
                                            whole
                                                    ? AttemptOutcome.ANSWERED
                                                    : AttemptOutcome.BROKEN));
                        });
        if (next.stream().noneMatch(RoutingAction.Deliver.class::isInstance)) {
            Objects.requireNonNull(result.answer()).discard();
        }
        run(next, result.answer());
    }

    /**
     * Gives back the connection of an attempt that ended, and tells the router.
     *
     * @param call the call
     * @param send the attempt
     * @param connection its connection
     * @param result how it ended
     */
    private void ended(
            Call call,
            RoutingAction.Send send,
            EndpointConnection connection,
            AttemptResult result) {
        call.attempts().remove(send.attempt());
        connections.giveBack(send.endpoint(), connection);
        completed(send, result);
    }

    /**
     * Gives up a call whose caller is gone. What was sent is finished, for the work is done anyway.
     *
     * @param number the call
     */
    void cancel(long number) {
        Call call = calls.get(number);
        if (call == null) {
            return;
        }
        call.cancel();
        run(router.cancelled(number, clock.currentTimeMillis()));
        steps.add(() -> forgetFinished(number));
        run(List.of());
        call.response().trySetException(new HttpException("the caller is gone"));
    }

    /**
     * Builds the request to an endpoint.
     *
     * @param call the call
     * @param send what to send where
     * @param attempt the number of the attempt
     * @param nowMillis the time, in milliseconds
     * @return the request
     */
    private static HttpRequest request(
            Call call, RoutingAction.Send send, String attempt, long nowMillis) {
        RoutingRequest routing = call.request();
        String kind = routing.kind().name().value();
        HttpRequest.Builder builder =
                HttpRequest.post("http://" + send.endpoint().address() + PATH_START + kind)
                        .withHeader(CallHeaders.TENANT, routing.tenant().value())
                        .withHeader(CallHeaders.ATTEMPT, attempt)
                        .withHeader(
                                CallHeaders.DEADLINE_MILLIS,
                                Long.toString(Math.max(1, send.deadlineMillis() - nowMillis)));
        if (routing.key() != null) {
            builder.withHeader(CallHeaders.KEY, routing.key().value());
        }
        if (call.contentType() != null) {
            builder.withHeader(HttpHeaders.CONTENT_TYPE, call.contentType());
        }
        return call.body().whole()
                ? builder.withBody(call.body().head()).build()
                : builder.withBodyStream(call.body().stream()).build();
    }

    /**
     * Hands the end of an attempt to the router, and its answer to the caller if it counts.
     *
     * @param send the attempt
     * @param result how it ended
     */
    private void completed(RoutingAction.Send send, AttemptResult result) {
        List<RoutingAction> next =
                router.completed(
                        send.number(), send.attempt(), result.outcome(), clock.currentTimeMillis());
        run(next, result.answer());
        steps.add(() -> forgetFinished(send.number()));
        run(List.of());
    }

    /**
     * Forgets a call that is finished, after all that was to be done for it.
     *
     * @param number the call
     */
    private void forgetFinished(long number) {
        if (!router.unfinished(number)) {
            calls.remove(number);
        }
    }

    /**
     * Hands an answer to the caller.
     *
     * @param number the call
     * @param answer the whole answer
     */
    private void deliver(long number, Answer answer) {
        Call call = calls.get(number);
        if (call != null) {
            count(call, ANSWERED);
            if (call.response().isComplete()) {
                answer.discard();
            } else {
                call.response().set(answer.response());
            }
        }
    }

    /**
     * Closes the connection of an attempt.
     *
     * @param abort the attempt
     */
    private void abort(RoutingAction.Abort abort) {
        Call call = calls.get(abort.number());
        EndpointConnection connection =
                call == null ? null : call.attempts().remove(abort.attempt());
        if (connection != null) {
            connection.close();
        }
    }

    /**
     * Hands an error to the caller.
     *
     * @param refuse the error
     */
    private void refuse(RoutingAction.Refuse refuse) {
        Call call = calls.remove(refuse.number());
        if (call != null) {
            count(call, refuse.error().code().name());
            call.response().trySet(JsonResponses.error(refuse.error(), refuse.retryAfterMillis()));
        }
    }

    /**
     * Claims the key of a request.
     *
     * @param claim what to claim
     */
    private void claim(RoutingAction.Claim claim) {
        Call call = calls.get(claim.number());
        if (call == null) {
            return;
        }
        RoutingRequest routing = call.request();
        claimGate
                .claim(
                        new ClaimRequest(
                                routing.tenant(),
                                routing.kind().name(),
                                claim.key(),
                                routing.deadlineMillis()))
                .whenComplete(
                        (granted, error) -> {
                            ClaimOutcome outcome =
                                    error == null ? granted : ClaimOutcome.UNAVAILABLE;
                            run(router.claimed(claim.number(), outcome, clock.currentTimeMillis()));
                        });
    }

    /**
     * Records the end of a call.
     *
     * @param call the call
     * @param outcome how it ended
     */
    private void count(Call call, String outcome) {
        RoutingRequest routing = call.request();
        long millis = Math.max(0, clock.currentTimeMillis() - call.startedMillis());
        metrics.recordLatency(routing.tenant(), routing.kind().name(), millis);
        metrics.countOutcome(routing.tenant(), routing.kind().name(), outcome);
    }

    /** Sets the timer to the time at which the router wants to be called. */
    private void setTimer() {
        long due = router.nextTimerMillis(clock.currentTimeMillis());
        if (timer != null && timer.isActive() && timer.timestamp() <= due) {
            return;
        }
        if (timer != null) {
            timer.cancel();
        }
        timer = due == Long.MAX_VALUE ? null : reactor.scheduleBackground(due, this::advance);
    }

    /** Lets the router handle what is due. */
    private void advance() {
        timer = null;
        run(router.advance(clock.currentTimeMillis()));
    }
}
