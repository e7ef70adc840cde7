package org.damasktiller.node.caller;

import com.fasterxml.jackson.databind.JsonNode;
import io.activej.http.AsyncServlet;
import io.activej.http.HttpHeaders;
import io.activej.http.HttpRequest;
import io.activej.http.HttpResponse;
import io.activej.promise.Promise;
import java.io.IOException;
import org.damasktiller.node.intake.BodyReader;
import org.damasktiller.platform.call.InvalidFieldException;
import org.damasktiller.platform.call.JsonBodies;
import org.damasktiller.scheduler.port.DecisionLog;
import org.damasktiller.scheduler.port.ProcessRuntime;

/** Serves the requests that peers pass on. They are not passed on once more. */
public final class RelayServlet implements AsyncServlet {

    /** The largest body of a request, in bytes: that of a caller and what is added to it. */
    private static final int MAX_BODY_BYTES = 2 << 20;

    /** How long a peer may take to send a body, in milliseconds. */
    private static final long BODY_TIMEOUT_MILLIS = 10_000;

    /** Says that a request was not handled by a manifest. */
    private static final long UNKNOWN_REVISION = 0;

    /** The HTTP status of a request that was understood. */
    private static final int OK = 200;

    /** The HTTP status of a request that was not understood. */
    private static final int BAD_REQUEST = 400;

    /** Handles the requests. */
    private final CallerServlet callers;

    /** Reads the bodies of requests. */
    private final BodyReader bodies;

    /** The clock from which deadlines are computed. */
    private final ProcessRuntime runtime;

    /** The log. */
    private final DecisionLog log;

    /**
     * Creates a servlet.
     *
     * @param callers handles the requests
     * @param bodies reads the bodies of requests
     * @param runtime the clock from which deadlines are computed
     * @param log the log
     */
    public RelayServlet(
            CallerServlet callers, BodyReader bodies, ProcessRuntime runtime, DecisionLog log) {
        this.callers = callers;
        this.bodies = bodies;
        this.runtime = runtime;
        this.log = log;
    }

    @Override
    public Promise<HttpResponse> serve(HttpRequest request) {
        if (!request.getPath().equals(HttpRelayTransport.PATH)) {
            return HttpResponse.ofCode(BAD_REQUEST).toPromise();
        }
        HttpBody body = new HttpBody(request, bodies, runtime.nowMillis() + BODY_TIMEOUT_MILLIS);
        return body.load(MAX_BODY_BYTES)
                .then(
                        this::handle,
                        error ->
                                Promise.of(
                                        render(
                                                new RelayedResponse(
                                                        HttpBody.refusal(error, MAX_BODY_BYTES),
                                                        UNKNOWN_REVISION))))
                .whenComplete(body::release);
    }

    /**
     * Handles a request.
     *
     * @param bytes the JSON body
     * @return the response
     */
    private Promise<HttpResponse> handle(byte[] bytes) {
        RelayedRequest relayed;
        try {
            relayed = RelayedRequest.decode(JsonBodies.readRelayed(bytes));
        } catch (InvalidFieldException exception) {
            return refuse(String.valueOf(exception.getMessage()));
        } catch (IOException exception) {
            return refuse(JsonBodies.describe(exception));
        }
        return callers.serveRelayed(relayed).map(RelayServlet::render);
    }

    /**
     * Refuses a request that is not understood.
     *
     * @param reason why it is not
     * @return the response
     */
    private Promise<HttpResponse> refuse(String reason) {
        log.log("relay.malformed", "reason", reason);
        return HttpResponse.ofCode(BAD_REQUEST).toPromise();
    }

    /**
     * Converts a response to its HTTP form.
     *
     * @param relayed the response
     * @return the HTTP response
     */
    private static HttpResponse render(RelayedResponse relayed) {
        JsonNode body;
        try {
            body = JsonBodies.read(relayed.response().body());
        } catch (IOException exception) {
            throw new IllegalStateException("a response has no JSON body", exception);
        }
        return HttpResponse.ofCode(OK)
                .withHeader(HttpHeaders.CONTENT_TYPE, "application/json")
                .withBody(JsonBodies.write(HttpRelayTransport.encode(relayed, body)))
                .build();
    }
}
