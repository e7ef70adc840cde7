package org.damasktiller.standin.endpoint;

import io.activej.bytebuf.ByteBuf;
import io.activej.csp.supplier.ChannelSuppliers;
import io.activej.http.AsyncServlet;
import io.activej.http.HttpError;
import io.activej.http.HttpHeader;
import io.activej.http.HttpMethod;
import io.activej.http.HttpRequest;
import io.activej.http.HttpResponse;
import io.activej.http.RoutingServlet;
import io.activej.promise.Promise;
import io.activej.promise.Promises;
import io.activej.promise.SettablePromise;
import io.activej.reactor.Reactor;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Collections;
import java.util.List;
import java.util.Set;
import java.util.WeakHashMap;
import org.damasktiller.standin.http.CallHeaders;

/**
 * Answers interactive requests as an endpoint does: it echoes the body. It runs as many requests at
 * once as it has slots. Used on its reactor's thread, but for the setting of the behaviour.
 */
public final class EndpointServlet implements AsyncServlet {

    /** The largest body, in bytes. */
    private static final int MAXIMUM_BODY_BYTES = 64 << 20;

    /** The status of a refusal. */
    private static final int UNAVAILABLE = 503;

    /** The status of an answer. */
    private static final int SUCCESS = 200;

    /** The status of a failure. */
    private static final int FAILURE = 500;

    /** The reactor. */
    private final Reactor reactor;

    /** The counters. */
    private final EndpointCounters counters;

    /** The connections that stay silent. */
    private final Set<Object> silentConnections = Collections.newSetFromMap(new WeakHashMap<>());

    /** The connections on which a request arrived. */
    private final Set<Object> knownConnections = Collections.newSetFromMap(new WeakHashMap<>());

    /** The requests that are never answered. */
    private final List<SettablePromise<HttpResponse>> unanswered = new ArrayList<>();

    /** How the endpoint behaves. */
    private volatile EndpointBehaviour behaviour;

    /** The number of requests that run. */
    private int running;

    /**
     * Creates a servlet.
     *
     * @param reactor the reactor
     * @param behaviour how the endpoint behaves at first
     * @param counters counts the requests
     */
    public EndpointServlet(
            Reactor reactor, EndpointBehaviour behaviour, EndpointCounters counters) {
        this.reactor = reactor;
        this.behaviour = behaviour;
        this.counters = counters;
    }

    /**
     * Adds the health check to the calls.
     *
     * @return a servlet for {@code POST /v1/call/:kind} and {@code GET /health}
     */
    public AsyncServlet withHealthCheck() {
        return RoutingServlet.builder(reactor)
                .with(HttpMethod.POST, "/v1/call/:kind", this)
                .with(HttpMethod.GET, "/health", this::health)
                .build();
    }

    /**
     * Replaces the behaviour. Safe for use by other threads.
     *
     * @param value how the endpoint behaves from now on
     */
    public void behave(EndpointBehaviour value) {
        behaviour = value;
    }

    @Override
    public Promise<HttpResponse> serve(HttpRequest request) {
        counters.countReceived();
        knownConnections.add(request.getConnection());
        EndpointBehaviour now = behaviour;
        EndpointFault fault = now.faults().next();
        if (fault == EndpointFault.SILENT) {
            silentConnections.add(request.getConnection());
        }
        if (silentConnections.contains(request.getConnection())) {
            return silence();
        }
        if (now.draining()) {
            return refusal(request, CallHeaders.DRAINING);
        }
        if (running >= now.slots()) {
            counters.countRefused();
            return refusal(request, CallHeaders.NOT_RUN);
        }
        running++;
        return request.loadBody(MAXIMUM_BODY_BYTES)
                .then(body -> run(request, body.getArray(), now, fault))
                .whenComplete(() -> running--);
    }

    /**
     * Silences some of the connections seen so far for good. To be called on the reactor's thread.
     *
     * @param every which of them: each one whose place is a multiple of this number
     * @param firstPlace the place of the first connection
     * @return the place after the last connection
     */
    public int silenceConnections(int every, int firstPlace) {
        int place = firstPlace;
        for (Object connection : knownConnections) {
            if (place % every == 0) {
                silentConnections.add(connection);
            }
            place++;
        }
        return place;
    }

    /** Ends the requests that are never answered, so that the server can be closed. */
    public void releaseSilent() {
        List<SettablePromise<HttpResponse>> released = List.copyOf(unanswered);
        unanswered.clear();
        released.forEach(promise -> promise.setException(HttpError.ofCode(UNAVAILABLE)));
    }

    /**
     * Makes an answer that never comes.
     *
     * @return the promise
     */
    private Promise<HttpResponse> silence() {
        SettablePromise<HttpResponse> never = new SettablePromise<>();
        unanswered.add(never);
        return never;
    }

    /**
     * Answers a health check, unless the connection is silent.
     *
     * @param request the request
     * @return the answer
     */
    private Promise<HttpResponse> health(HttpRequest request) {
        if (silentConnections.contains(request.getConnection())) {
            return silence();
        }
        return HttpResponse.ok200().withPlainText("ok").toPromise();
    }

    /**
     * Runs a request and answers it.
     *
     * @param request the request
     * @param body its body
     * @param now the behaviour
     * @param fault the fault
     * @return the answer
     */
    private Promise<HttpResponse> run(
            HttpRequest request, byte[] body, EndpointBehaviour now, EndpointFault fault) {
        String key = request.getHeader(CallHeaders.KEY);
        counters.countRun(key == null ? "" : key);
        long late = fault == EndpointFault.LATE ? now.lateMillis() : 0;
        long delay = now.serviceMillis() * now.slowFactor() + late;
        Promise<Void> done = delay == 0 ? Promise.complete() : Promises.delay(delay);
        return done.then(() -> answer(request, body, fault));
    }

    /**
     * Makes the answer.
     *
     * @param request the request
     * @param body its body
     * @param fault the fault
     * @return the answer
     */
    private static Promise<HttpResponse> answer(
            HttpRequest request, byte[] body, EndpointFault fault) {
        HttpResponse.Builder builder =
                HttpResponse.ofCode(fault == EndpointFault.ERROR ? FAILURE : SUCCESS);
        String attempt = request.getHeader(CallHeaders.ATTEMPT);
        if (attempt != null) {
            builder.withHeader(CallHeaders.ATTEMPT, attempt);
        }
        if (fault == EndpointFault.CLOSED) {
            return cutOff(builder, new byte[0]);
        }
        if (fault == EndpointFault.TRUNCATED) {
            byte[] half = Arrays.copyOf(body, body.length / 2);
            return cutOff(builder, half);
        }
        return builder.withBody(body).toPromise();
    }

    /**
     * Makes an answer that breaks off after some bytes.
     *
     * @param builder the head of the answer
     * @param bytes what is sent before
     * @return the answer
     */
    private static Promise<HttpResponse> cutOff(HttpResponse.Builder builder, byte[] bytes) {
        return builder.withBodyStream(
                        ChannelSuppliers.concat(
                                ChannelSuppliers.ofValue(ByteBuf.wrapForReading(bytes)),
                                ChannelSuppliers.ofException(new IOException("cut off"))))
                .toPromise();
    }

    /**
     * Refuses a request that is not run.
     *
     * @param request the request
     * @param mark the header that tells why
     * @return the answer
     */
    private static Promise<HttpResponse> refusal(HttpRequest request, HttpHeader mark) {
        HttpResponse.Builder builder =
                HttpResponse.ofCode(UNAVAILABLE)
                        .withHeader(mark, "true")
                        .withBody("not run".getBytes(StandardCharsets.UTF_8));
        String attempt = request.getHeader(CallHeaders.ATTEMPT);
        if (attempt != null) {
            builder.withHeader(CallHeaders.ATTEMPT, attempt);
        }
        return builder.toPromise();
    }
}
