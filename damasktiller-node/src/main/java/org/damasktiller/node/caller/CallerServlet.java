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
import org.damasktiller.platform.ingress.CallerCodec;
import org.damasktiller.scheduler.model.Manifest;
import org.damasktiller.scheduler.model.Route;
import org.damasktiller.scheduler.model.Submission;
import org.damasktiller.scheduler.port.DecisionLog;
import org.damasktiller.scheduler.port.ProcessRuntime;
import org.jspecify.annotations.Nullable;

/** Takes the requests of callers. */
public final class CallerServlet implements AsyncServlet {

    /** How long a caller waits that does not say so, in milliseconds. */
    private static final long DEFAULT_DEADLINE_MILLIS = 3_000;

    /** The form of a submission's identifier. */
    private static final Pattern IDENTIFIER = Pattern.compile("[0-9a-fA-F]{16}");

    /** The manifest in force. */
    private final Supplier<@Nullable Manifest> manifest;

    /** Accepts submissions. */
    private final SubmissionAcceptor acceptor;

    /** Tells states and cancels. */
    private final SubmissionQuestions questions;

    /** Tells how much waits. */
    private final Cluster cluster;

    /** The clock. */
    private final ProcessRuntime runtime;

    /** The log. */
    private final DecisionLog log;

    /** Whether connections are closed after their next answer. */
    private boolean closing;

    /** The number of requests that are being answered. */
    private int inFlight;

    /**
     * Creates a servlet.
     *
     * @param manifest the manifest in force
     * @param acceptor accepts submissions
     * @param questions tells states and cancels
     * @param cluster tells how much waits
     * @param runtime the clock
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

    /** Closes each connection after its next answer. */
    public void closeConnections() {
        closing = true;
    }

    /**
     * Returns the number of requests that are being answered.
     *
     * @return the number
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
     * Handles a request.
     *
     * @param request the request
     * @return the answer
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
            return Promise.of(CallerAnswer.malformed("an identifier has 16 hexadecimal digits"));
        }
        CallerRequest call = new CallerRequest(id, route, inForce.version(), deadline(request));
        return switch (request.getMethod()) {
            case POST -> submit(request, call, inForce.limits().bodyBytes());
            case GET -> promise(answer -> questions.state(call, answer));
            case DELETE -> promise(answer -> questions.cancel(call, answer));
            default -> Promise.of(CallerAnswer.malformed("the method is not known here"));
        };
    }

    /**
     * Handles a submission.
     *
     * @param request the request
     * @param call the request
     * @param limit the largest body, in bytes
     * @return the answer
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
     * Accepts a submission.
     *
     * @param call the request
     * @param body the body
     * @return the answer
     */
    private Promise<CallerAnswer> accept(CallerRequest call, byte[] body) {
        Submission submission;
        try {
            submission = CallerCodec.decodeSubmission(call.id(), body);
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
     * Makes a promise of an answer.
     *
     * @param action begins the work and gets what takes the answer
     * @return the promise
     */
    private static Promise<CallerAnswer> promise(Consumer<Consumer<CallerAnswer>> action) {
        SettablePromise<CallerAnswer> promise = new SettablePromise<>();
        action.accept(promise::set);
        return promise;
    }

    /**
     * Renders an answer.
     *
     * @param answer the answer
     * @return the response
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
     * Returns by when the caller wants an answer.
     *
     * @param request the request
     * @return the time on the steady clock, in milliseconds
     */
    private long deadline(HttpRequest request) {
        String header = request.getHeader(CallerCodec.DEADLINE_MILLIS_HEADER);
        long wait = DEFAULT_DEADLINE_MILLIS;
        if (header != null && header.matches("\\d{1,9}")) {
            wait = Long.parseLong(header);
        }
        return runtime.nowMillis() + wait;
    }

    /**
     * Returns the host that the caller names, without a port.
     *
     * @param request the request
     * @return the host, empty if there is none
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
