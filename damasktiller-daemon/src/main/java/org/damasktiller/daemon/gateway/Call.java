package org.damasktiller.daemon.gateway;

import io.activej.http.HttpResponse;
import io.activej.promise.SettablePromise;
import java.util.HashMap;
import java.util.Map;
import org.damasktiller.routing.RoutingRequest;
import org.jspecify.annotations.Nullable;

/** Holds one call of a caller until it is answered. */
final class Call {

    /** The request as the router knows it. */
    private final RoutingRequest request;

    /** The type of the body, or null. */
    private final @Nullable String contentType;

    /** The body. */
    private final Body body;

    /** When the call arrived, in milliseconds. */
    private final long startedMillis;

    /** The response to the caller. */
    private final SettablePromise<HttpResponse> response = new SettablePromise<>();

    /** The connections of the attempts under way, by attempt. */
    private final Map<Long, EndpointConnection> attempts = new HashMap<>();

    /** Whether the caller is gone. */
    private boolean cancelled;

    /**
     * Creates a call.
     *
     * @param request the request as the router knows it
     * @param contentType the type of the body, or null
     * @param body the body
     * @param startedMillis when the call arrived, in milliseconds
     */
    Call(RoutingRequest request, @Nullable String contentType, Body body, long startedMillis) {
        this.request = request;
        this.contentType = contentType;
        this.body = body;
        this.startedMillis = startedMillis;
    }

    /**
     * Returns the request.
     *
     * @return the request
     */
    RoutingRequest request() {
        return request;
    }

    /**
     * Returns the type of the body.
     *
     * @return the type, or null
     */
    @Nullable String contentType() {
        return contentType;
    }

    /**
     * Returns the body.
     *
     * @return the body
     */
    Body body() {
        return body;
    }

    /**
     * Returns when the call arrived.
     *
     * @return the time, in milliseconds
     */
    long startedMillis() {
        return startedMillis;
    }

    /**
     * Returns the response to the caller.
     *
     * @return the promise
     */
    SettablePromise<HttpResponse> response() {
        return response;
    }

    /** Notes that the caller is gone. */
    void cancel() {
        cancelled = true;
    }

    /**
     * Tells whether the caller is gone.
     *
     * @return whether it is
     */
    boolean cancelled() {
        return cancelled;
    }

    /**
     * Returns the connections of the attempts under way.
     *
     * @return the connections by attempt, which may be changed
     */
    Map<Long, EndpointConnection> attempts() {
        return attempts;
    }
}
