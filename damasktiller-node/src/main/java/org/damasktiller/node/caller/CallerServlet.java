package org.damasktiller.node.caller;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.MissingNode;
import io.activej.http.AsyncServlet;
import io.activej.http.HttpHeaders;
import io.activej.http.HttpMethod;
import io.activej.http.HttpRequest;
import io.activej.http.HttpResponse;
import io.activej.promise.Promise;
import io.activej.promise.SettablePromise;
import java.io.IOException;
import java.util.function.Consumer;
import java.util.function.Supplier;
import java.util.regex.Pattern;
import org.damasktiller.error.DamasktillerException;
import org.damasktiller.node.cluster.ClusterMember;
import org.damasktiller.node.cluster.ManifestFloor;
import org.damasktiller.node.intake.BodyReader;
import org.damasktiller.platform.call.JsonBodies;
import org.damasktiller.platform.ingress.CallerCodec;
import org.damasktiller.scheduler.model.Manifest;
import org.damasktiller.scheduler.model.Route;
import org.damasktiller.scheduler.model.Submission;
import org.damasktiller.scheduler.port.DecisionLog;
import org.damasktiller.scheduler.port.ProcessRuntime;
import org.jspecify.annotations.Nullable;

/**
 * Serves the HTTP requests of callers: POST submits, GET returns the state of a submission or the
 * number of pending submissions of a route, and DELETE cancels a submission. Runs on the thread of
 * the event loop.
 */
public final class CallerServlet implements AsyncServlet {

    /** The timeout of a request without a valid deadline header, in milliseconds. */
    private static final long DEFAULT_TIMEOUT_MILLIS = 3_000;

    /**
     * The maximum size of a body that is passed on, in bytes. The peer applies the limit of its
     * manifest, which may be newer.
     */
    private static final int MAX_PASSED_ON_BODY_BYTES = 1 << 20;

    /** Matches a valid submission identifier. */
    private static final Pattern IDENTIFIER_PATTERN = Pattern.compile("[0-9a-fA-F]{16}");

    /** Returns the current manifest, or null before the first one has been read. */
    private final Supplier<@Nullable Manifest> manifest;

    /** Stores new submissions. */
    private final SubmissionAcceptor acceptor;

    /** Handles state queries and cancellations. */
    private final SubmissionStateHandler stateHandler;

    /** Provides the pending count of each route, and whether the store fails this VM. */
    private final ClusterMember clusterMember;

    /** Passes requests on while this VM may not handle them. */
    private final CallerRelay relay;

    /** Decides whether this VM may handle a request by its manifest. */
    private final ManifestFloor manifestFloor;

    /** Reads the bodies of requests. */
    private final BodyReader bodies;

    /** The clock from which deadlines are computed. */
    private final ProcessRuntime runtime;

    /** The log. */
    private final DecisionLog log;

    /** Whether each connection is closed after its next response. */
    private boolean closeAfterResponse;

    /** The number of requests without a response so far. */
    private int requestsInFlight;

    /**
     * Creates a servlet.
     *
     * @param manifest returns the current manifest, or null before the first one has been read
     * @param acceptor stores new submissions
     * @param stateHandler handles state queries and cancellations
     * @param clusterMember provides the pending count of each route, and whether the store fails
     *     this VM
     * @param relay passes requests on while this VM may not handle them
     * @param manifestFloor decides whether this VM may handle a request by its manifest
     * @param bodies reads the bodies of requests
     * @param runtime the clock from which deadlines are computed
     * @param log the log
     */
    public CallerServlet(
            Supplier<@Nullable Manifest> manifest,
            SubmissionAcceptor acceptor,
            SubmissionStateHandler stateHandler,
            ClusterMember clusterMember,
            CallerRelay relay,
            ManifestFloor manifestFloor,
            BodyReader bodies,
            ProcessRuntime runtime,
            DecisionLog log) {
        this.manifest = manifest;
        this.relay = relay;
        this.manifestFloor = manifestFloor;
        this.acceptor = acceptor;
        this.stateHandler = stateHandler;
        this.clusterMember = clusterMember;
        this.bodies = bodies;
        this.runtime = runtime;
        this.log = log;
    }

    /** Closes each connection after its next response, so that callers reconnect to another VM. */
    public void closeConnections() {
        closeAfterResponse = true;
    }

    /**
     * Returns the number of requests that have no response yet.
     *
     * @return the number of requests in flight
     */
    public int requestsInFlight() {
        return requestsInFlight;
    }

    @Override
    public Promise<HttpResponse> serve(HttpRequest request) {
        requestsInFlight++;
        long deadlineMillis = deadlineMillis(request);
        HttpBody body = new HttpBody(request, bodies, deadlineMillis);
        Incoming incoming =
                new Incoming(
                        request.getMethod(),
                        host(request),
                        request.getPath(),
                        deadlineMillis,
                        body);
        boolean unconfirmed = manifestFloor.isUnconfirmed();
        Promise<CallerResponse> promise =
                switch (manifestFloor.handler()) {
                    case SELF -> handle(incoming);
                    case PEER -> passOn(incoming);
                    case NONE -> refuse(incoming);
                };
        return promise.then(
                        response ->
                                response.deniedByManifest()
                                                && (unconfirmed || manifestFloor.isUnconfirmed())
                                        ? refuse(incoming)
                                        : Promise.of(response))
                .whenComplete(
                        (response, error) -> {
                            requestsInFlight--;
                            body.release();
                        })
                .map(this::render);
    }

    /**
     * Handles a request that a peer has passed on. It is rejected at once if this VM can't reach
     * the store either, or has an older manifest than the request may be handled by.
     *
     * @param relayed the request
     * @return the response, and the version of the manifest by which the request was handled
     */
    Promise<RelayedResponse> serveRelayed(RelayedRequest relayed) {
        manifestFloor.onPeerRevision(relayed.manifestRevision());
        long manifestRevision = manifestFloor.ownRevision();
        Promise<CallerResponse> promise =
                switch (manifestFloor.handler()) {
                    case SELF -> handle(relayed);
                    case PEER, NONE ->
                            Promise.of(
                                    CallerResponse.notExecuted(
                                            clusterMember.isStoreFailing()
                                                    ? "this VM can't reach the store either"
                                                    : "this VM has an older manifest"));
                };
        return promise.map(response -> new RelayedResponse(response, manifestRevision));
    }

    /**
     * Handles a request that a peer has passed on by the manifest of this VM.
     *
     * @param relayed the request
     * @return the response
     */
    private Promise<CallerResponse> handle(RelayedRequest relayed) {
        HttpMethod method;
        try {
            method = HttpMethod.valueOf(relayed.method());
        } catch (IllegalArgumentException exception) {
            return Promise.of(CallerResponse.malformed("unknown method " + relayed.method()));
        }
        byte[] body = JsonBodies.write(relayed.body());
        requestsInFlight++;
        return handle(
                        new Incoming(
                                method,
                                relayed.host(),
                                relayed.path(),
                                runtime.nowMillis() + relayed.timeoutMillis(),
                                maxBytes -> Promise.of(body)))
                .whenComplete((response, error) -> requestsInFlight--);
    }

    /**
     * Passes a request on to a peer, or handles it if no peer can serve it.
     *
     * @param incoming the request
     * @return the response
     */
    private Promise<CallerResponse> passOn(Incoming incoming) {
        if (incoming.method() != HttpMethod.POST) {
            return passOn(incoming, MissingNode.getInstance());
        }
        return incoming.body()
                .load(MAX_PASSED_ON_BODY_BYTES)
                .then(
                        body -> {
                            Incoming loaded = incoming.withBody(maxBytes -> Promise.of(body));
                            try {
                                return passOn(loaded, JsonBodies.readAsText(body));
                            } catch (IOException exception) {
                                return handleIfCurrent(loaded);
                            }
                        },
                        error -> Promise.of(HttpBody.refusal(error, MAX_PASSED_ON_BODY_BYTES)));
    }

    /**
     * Passes a request on whose body is loaded, or handles it if no peer can serve it.
     *
     * @param incoming the request
     * @param body its JSON body, a missing node if it has none
     * @return the response
     */
    private Promise<CallerResponse> passOn(Incoming incoming, JsonNode body) {
        RelayedRequest relayed =
                new RelayedRequest(
                        incoming.method().name(),
                        incoming.host(),
                        incoming.path(),
                        incoming.deadlineMillis() - runtime.nowMillis(),
                        manifestFloor.revision(),
                        body);
        SettablePromise<CallerResponse> promise = new SettablePromise<>();
        relay.relay(relayed, promise::set, () -> handleIfCurrent(incoming).subscribe(promise));
        return promise;
    }

    /**
     * Handles a request that no peer could serve, or refuses it if the manifest of this VM is older
     * than one that it has answered by.
     *
     * @param incoming the request, which had no effect so far
     * @return the response
     */
    private Promise<CallerResponse> handleIfCurrent(Incoming incoming) {
        return manifestFloor.isBehind() ? refuse(incoming) : handle(incoming);
    }

    /**
     * Refuses a request that had no effect, since the manifest by which it could be handled is too
     * old, or may be.
     *
     * @param incoming the request
     * @return the response, after which the caller may come back
     */
    private Promise<CallerResponse> refuse(Incoming incoming) {
        log.log(
                "request.refused",
                "path",
                incoming.path(),
                "revision",
                manifestFloor.ownRevision(),
                "floor",
                manifestFloor.revision());
        return Promise.of(
                CallerResponse.notExecuted("this VM has not read the newest manifest yet"));
    }

    /**
     * Matches a request to a route and dispatches it by its HTTP method.
     *
     * @param incoming the request
     * @return the response
     */
    private Promise<CallerResponse> handle(Incoming incoming) {
        Manifest currentManifest = manifest.get();
        if (currentManifest == null) {
            return Promise.of(CallerResponse.notExecuted("no manifest has been read yet"));
        }
        String path = incoming.path();
        Route route = currentManifest.findRoute(incoming.host(), path);
        if (route == null) {
            log.log(
                    "route.missing",
                    "path",
                    path,
                    "host",
                    incoming.host(),
                    "manifest",
                    currentManifest.version());
            return Promise.of(CallerResponse.routeNotFound());
        }
        String id = path.substring(route.pathPrefix().length());
        if (id.isEmpty() && incoming.method() == HttpMethod.GET) {
            return promise(callback -> countPending(route, callback));
        }
        if (!IDENTIFIER_PATTERN.matcher(id).matches()) {
            return Promise.of(
                    CallerResponse.malformed("the identifier must have 16 hexadecimal digits"));
        }
        CallerRequest callerRequest =
                new CallerRequest(id, route, currentManifest.version(), incoming.deadlineMillis());
        return switch (incoming.method()) {
            case POST -> submit(incoming, callerRequest, currentManifest.limits().maxBodyBytes());
            case GET -> promise(callback -> stateHandler.queryState(callerRequest, callback));
            case DELETE -> promise(callback -> stateHandler.cancel(callerRequest, callback));
            default -> Promise.of(CallerResponse.malformed("the HTTP method is not supported"));
        };
    }

    /**
     * Counts the pending submissions of a route.
     *
     * @param route the route
     * @param callback receives the response: the count, or that the store does not answer
     */
    private void countPending(Route route, Consumer<CallerResponse> callback) {
        clusterMember.countPending(
                route.name(),
                count ->
                        callback.accept(
                                count.isPresent()
                                        ? CallerResponse.pending(count.getAsInt())
                                        : CallerResponse.notExecuted(
                                                "the store does not answer for the count")));
    }

    /**
     * Loads the body of a submission and accepts it.
     *
     * @param incoming the request, whose body has not been loaded
     * @param callerRequest the same request after routing
     * @param maxBodyBytes the maximum size of a body, in bytes
     * @return the response; a body that is not read to its end is refused
     */
    private Promise<CallerResponse> submit(
            Incoming incoming, CallerRequest callerRequest, int maxBodyBytes) {
        return incoming.body()
                .load(maxBodyBytes)
                .then(
                        body ->
                                body.length > maxBodyBytes
                                        ? Promise.of(CallerResponse.bodyTooLarge(maxBodyBytes))
                                        : accept(callerRequest, body),
                        error -> Promise.of(HttpBody.refusal(error, maxBodyBytes)));
    }

    /**
     * Parses a submission and passes it to the acceptor.
     *
     * @param callerRequest the request
     * @param body the JSON body
     * @return the response
     */
    private Promise<CallerResponse> accept(CallerRequest callerRequest, byte[] body) {
        Submission submission;
        try {
            submission = CallerCodec.decodeSubmission(callerRequest.id(), body);
        } catch (DamasktillerException exception) {
            log.log(
                    "submission.malformed",
                    "id",
                    callerRequest.id(),
                    "reason",
                    String.valueOf(exception.getMessage()));
            return Promise.of(CallerResponse.malformed(String.valueOf(exception.getMessage())));
        }
        return promise(callback -> acceptor.accept(callerRequest, submission, callback));
    }

    /**
     * Adapts an operation with a callback to a promise.
     *
     * @param action starts the operation; its argument is the callback for the response
     * @return a promise that completes when the callback is called
     */
    private static Promise<CallerResponse> promise(Consumer<Consumer<CallerResponse>> action) {
        SettablePromise<CallerResponse> promise = new SettablePromise<>();
        action.accept(promise::set);
        return promise;
    }

    /**
     * Converts a response to its HTTP form.
     *
     * @param response the response
     * @return the HTTP response
     */
    private HttpResponse render(CallerResponse response) {
        HttpResponse.Builder builder =
                HttpResponse.ofCode(response.status())
                        .withHeader(HttpHeaders.CONTENT_TYPE, "application/json")
                        .withBody(response.body());
        if (response.retryAfterSeconds() > 0) {
            builder.withHeader(
                    HttpHeaders.RETRY_AFTER, Integer.toString(response.retryAfterSeconds()));
        }
        if (closeAfterResponse) {
            builder.withHeader(HttpHeaders.CONNECTION, "close");
        }
        return builder.build();
    }

    /**
     * Returns when the caller stops waiting for a response. The deadline header holds the remaining
     * time in milliseconds; a missing or malformed header means the default timeout.
     *
     * @param request the request
     * @return the deadline on the monotonic clock, in milliseconds
     */
    private long deadlineMillis(HttpRequest request) {
        String header = request.getHeader(CallerCodec.DEADLINE_MILLIS_HEADER);
        long timeoutMillis = DEFAULT_TIMEOUT_MILLIS;
        if (header != null && header.matches("\\d{1,9}")) {
            timeoutMillis = Long.parseLong(header);
        }
        return runtime.nowMillis() + timeoutMillis;
    }

    /**
     * Returns the value of the Host header without its port.
     *
     * @param request the request
     * @return the host, or an empty string if the request has no such header
     */
    private static String host(HttpRequest request) {
        String header = request.getHeader(HttpHeaders.HOST);
        if (header == null) {
            return "";
        }
        int colon = header.indexOf(':');
        return colon < 0 ? header : header.substring(0, colon);
    }

    /**
     * A request of a caller, received here or passed on by a peer.
     *
     * @param method the HTTP method
     * @param host the host that the caller named, without a port
     * @param path the path
     * @param deadlineMillis when the caller stops waiting for the response, on the monotonic clock,
     *     in milliseconds
     * @param body loads the body
     */
    private record Incoming(
            HttpMethod method, String host, String path, long deadlineMillis, BodyLoader body) {

        /**
         * Returns the request with another way to load its body.
         *
         * @param loader loads the body
         * @return the request
         */
        Incoming withBody(BodyLoader loader) {
            return new Incoming(method, host, path, deadlineMillis, loader);
        }
    }
}
