package org.damasktiller.node.caller;

import io.activej.http.AsyncServlet;
import io.activej.http.HttpHeaders;
import io.activej.http.HttpMethod;
import io.activej.http.HttpRequest;
import io.activej.http.HttpResponse;
import io.activej.promise.Promise;
import io.activej.promise.SettablePromise;
import java.util.function.Consumer;
import java.util.function.Supplier;
import java.util.regex.Pattern;
import org.damasktiller.error.DamasktillerException;
import org.damasktiller.node.cluster.ClusterMember;
import org.damasktiller.platform.ingress.CallerFormats;
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

    /** Matches a valid submission identifier. */
    private static final Pattern IDENTIFIER_PATTERN = Pattern.compile("[0-9a-fA-F]{16}");

    /** Returns the current manifest, or null before the first one has been read. */
    private final Supplier<@Nullable Manifest> manifest;

    /** Stores new submissions. */
    private final SubmissionAcceptor acceptor;

    /** Handles state queries and cancellations. */
    private final SubmissionStateHandler stateHandler;

    /** Provides the pending count of each route. */
    private final ClusterMember clusterMember;

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
     * @param clusterMember provides the pending count of each route
     * @param runtime the clock from which deadlines are computed
     * @param log the log
     */
    public CallerServlet(
            Supplier<@Nullable Manifest> manifest,
            SubmissionAcceptor acceptor,
            SubmissionStateHandler stateHandler,
            ClusterMember clusterMember,
            ProcessRuntime runtime,
            DecisionLog log) {
        this.manifest = manifest;
        this.acceptor = acceptor;
        this.stateHandler = stateHandler;
        this.clusterMember = clusterMember;
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
        return handle(request)
                .whenComplete((response, error) -> requestsInFlight--)
                .map(this::render);
    }

    /**
     * Matches a request to a route and dispatches it by its HTTP method.
     *
     * @param request the request
     * @return the response
     */
    private Promise<CallerResponse> handle(HttpRequest request) {
        Manifest currentManifest = manifest.get();
        if (currentManifest == null) {
            return Promise.of(CallerResponse.notExecuted("no manifest has been read yet"));
        }
        String path = request.getPath();
        Route route = currentManifest.findRoute(host(request), path);
        if (route == null) {
            log.log(
                    "route.missing",
                    "path",
                    path,
                    "host",
                    host(request),
                    "manifest",
                    currentManifest.version());
            return Promise.of(CallerResponse.routeNotFound());
        }
        String id = path.substring(route.pathPrefix().length());
        if (id.isEmpty() && request.getMethod() == HttpMethod.GET) {
            return Promise.of(CallerResponse.pending(clusterMember.pendingCount(route.name())));
        }
        if (!IDENTIFIER_PATTERN.matcher(id).matches()) {
            return Promise.of(
                    CallerResponse.malformed("the identifier must have 16 hexadecimal digits"));
        }
        CallerRequest callerRequest =
                new CallerRequest(id, route, currentManifest.version(), deadlineMillis(request));
        return switch (request.getMethod()) {
            case POST -> submit(request, callerRequest, currentManifest.limits().maxBodyBytes());
            case GET -> promise(callback -> stateHandler.queryState(callerRequest, callback));
            case DELETE -> promise(callback -> stateHandler.cancel(callerRequest, callback));
            default -> Promise.of(CallerResponse.malformed("the HTTP method is not supported"));
        };
    }

    /**
     * Loads the body of a submission and accepts it.
     *
     * @param request the HTTP request, whose body has not been loaded
     * @param callerRequest the same request after routing
     * @param maxBodyBytes the maximum size of a body, in bytes
     * @return the response; a body that can't be loaded is reported as too large
     */
    private Promise<CallerResponse> submit(
            HttpRequest request, CallerRequest callerRequest, int maxBodyBytes) {
        return request.loadBody(maxBodyBytes)
                .then(
                        buffer -> {
                            byte[] body = buffer.getArray();
                            return body.length > maxBodyBytes
                                    ? Promise.of(CallerResponse.bodyTooLarge(maxBodyBytes))
                                    : accept(callerRequest, body);
                        },
                        error -> {
                            log.log("body.unreadable", "id", callerRequest.id(), "error", error);
                            return Promise.of(CallerResponse.bodyTooLarge(maxBodyBytes));
                        });
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
            submission = CallerFormats.submission(callerRequest.id(), body);
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
        String header = request.getHeader(CallerFormats.DEADLINE);
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
}
