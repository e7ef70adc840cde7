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
import org.damasktiller.node.cluster.Cluster;
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
    private static final long DEFAULT_DEADLINE_MILLIS = 3_000;

    /** Matches a valid submission identifier. */
    private static final Pattern IDENTIFIER = Pattern.compile("[0-9a-fA-F]{16}");

    /** Returns the current manifest, or null before the first one has been read. */
    private final Supplier<@Nullable Manifest> manifest;

    /** Stores new submissions. */
    private final SubmissionAcceptor acceptor;

    /** Handles state queries and cancellations. */
    private final SubmissionQuestions questions;

    /** Provides the pending count of each route. */
    private final Cluster cluster;

    /** The clock from which deadlines are computed. */
    private final ProcessRuntime runtime;

    /** The log. */
    private final DecisionLog log;

    /** Whether each connection is closed after its next response. */
    private boolean closing;

    /** The number of requests without a response so far. */
    private int inFlight;

    /**
     * Creates a servlet.
     *
     * @param manifest returns the current manifest, or null before the first one has been read
     * @param acceptor stores new submissions
     * @param questions handles state queries and cancellations
     * @param cluster provides the pending count of each route
     * @param runtime the clock from which deadlines are computed
     * @param log the log
     */
    public CallerServlet(
            Supplier<@Nullable Manifest> manifest,
            SubmissionAcceptor acceptor,
            SubmissionQuestions questions,
            Cluster cluster,
            ProcessRuntime runtime,
            DecisionLog log) {
        this.manifest = manifest;
        this.acceptor = acceptor;
        this.questions = questions;
        this.cluster = cluster;
        this.runtime = runtime;
        this.log = log;
    }

    /** Closes each connection after its next response, so that callers reconnect to another VM. */
    public void closeConnections() {
        closing = true;
    }

    /**
     * Returns the number of requests that have no response yet.
     *
     * @return the number of requests in flight
     */
    public int inFlight() {
        return inFlight;
    }

    @Override
    public Promise<HttpResponse> serve(HttpRequest request) {
        inFlight++;
        return handle(request).whenComplete((response, error) -> inFlight--).map(this::render);
    }

    /**
     * Matches a request to a route and dispatches it by its HTTP method.
     *
     * @param request the request
     * @return the response
     */
    private Promise<CallerAnswer> handle(HttpRequest request) {
        Manifest inForce = manifest.get();
        if (inForce == null) {
            return Promise.of(CallerAnswer.notCarriedOut("no manifest has been read yet"));
        }
        String path = request.getPath();
        Route route = inForce.route(host(request), path);
        if (route == null) {
            log.log(
                    "route.missing",
                    "path",
                    path,
                    "host",
                    host(request),
                    "manifest",
                    inForce.version());
            return Promise.of(CallerAnswer.noRoute());
        }
        String id = path.substring(route.pathPrefix().length());
        if (id.isEmpty() && request.getMethod() == HttpMethod.GET) {
            return Promise.of(CallerAnswer.pending(cluster.pending(route.name())));
        }
        if (!IDENTIFIER.matcher(id).matches()) {
            return Promise.of(
                    CallerAnswer.malformed("the identifier must have 16 hexadecimal digits"));
        }
        CallerRequest call = new CallerRequest(id, route, inForce.version(), deadline(request));
        return switch (request.getMethod()) {
            case POST -> submit(request, call, inForce.limits().bodyBytes());
            case GET -> promise(answer -> questions.state(call, answer));
            case DELETE -> promise(answer -> questions.cancel(call, answer));
            default -> Promise.of(CallerAnswer.malformed("the HTTP method is not supported"));
        };
    }

    /**
     * Loads the body of a submission and accepts it.
     *
     * @param request the HTTP request, whose body has not been loaded
     * @param call the same request after routing
     * @param limit the maximum size of a body, in bytes
     * @return the response; a body that can't be loaded is reported as too large
     */
    private Promise<CallerAnswer> submit(HttpRequest request, CallerRequest call, int limit) {
        return request.loadBody(limit)
                .then(
                        buffer -> {
                            byte[] body = buffer.getArray();
                            return body.length > limit
                                    ? Promise.of(CallerAnswer.tooLarge(limit))
                                    : accept(call, body);
                        },
                        error -> {
                            log.log("body.unreadable", "id", call.id(), "error", error);
                            return Promise.of(CallerAnswer.tooLarge(limit));
                        });
    }

    /**
     * Parses a submission and passes it to the acceptor.
     *
     * @param call the request
     * @param body the JSON body
     * @return the response
     */
    private Promise<CallerAnswer> accept(CallerRequest call, byte[] body) {
        Submission submission;
        try {
            submission = CallerFormats.submission(call.id(), body);
        } catch (DamasktillerException exception) {
            log.log(
                    "submission.malformed",
                    "id",
                    call.id(),
                    "reason",
                    String.valueOf(exception.getMessage()));
            return Promise.of(CallerAnswer.malformed(String.valueOf(exception.getMessage())));
        }
        return promise(answer -> acceptor.accept(call, submission, answer));
    }

    /**
     * Adapts an operation with a callback to a promise.
     *
     * @param action starts the operation; its argument is the callback for the response
     * @return a promise that completes when the callback is called
     */
    private static Promise<CallerAnswer> promise(Consumer<Consumer<CallerAnswer>> action) {
        SettablePromise<CallerAnswer> promise = new SettablePromise<>();
        action.accept(promise::set);
        return promise;
    }

    /**
     * Converts a response to its HTTP form.
     *
     * @param answer the response
     * @return the HTTP response
     */
    private HttpResponse render(CallerAnswer answer) {
        HttpResponse.Builder builder =
                HttpResponse.ofCode(answer.status())
                        .withHeader(HttpHeaders.CONTENT_TYPE, "application/json")
                        .withBody(answer.body());
        if (answer.retryAfterSeconds() > 0) {
            builder.withHeader(
                    HttpHeaders.RETRY_AFTER, Integer.toString(answer.retryAfterSeconds()));
        }
        if (closing) {
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
    private long deadline(HttpRequest request) {
        String header = request.getHeader(CallerFormats.DEADLINE);
        long wait = DEFAULT_DEADLINE_MILLIS;
        if (header != null && header.matches("\\d{1,9}")) {
            wait = Long.parseLong(header);
        }
        return runtime.nowMillis() + wait;
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
