package org.damasktiller.daemon.job;

import io.activej.common.time.CurrentTimeProvider;
import io.activej.http.HttpMethod;
import io.activej.http.HttpRequest;
import io.activej.http.HttpResponse;
import io.activej.http.RoutingServlet;
import io.activej.promise.Promise;
import io.activej.reactor.Reactor;
import java.nio.ByteBuffer;
import java.nio.charset.CharacterCodingException;
import java.nio.charset.StandardCharsets;
import java.util.function.Supplier;
import org.damasktiller.authority.cell.JobAnswer;
import org.damasktiller.authority.cell.JobRefusal;
import org.damasktiller.authority.cell.JobReply;
import org.damasktiller.authority.cell.JobSubmission;
import org.damasktiller.authority.layout.CellLayout;
import org.damasktiller.daemon.metrics.WorkMetrics;
import org.damasktiller.error.DamasktillerException;
import org.damasktiller.error.ErrorCode;
import org.damasktiller.error.Outcome;
import org.damasktiller.error.Step;
import org.damasktiller.identity.JobId;
import org.damasktiller.identity.KindName;
import org.damasktiller.identity.RequestKey;
import org.damasktiller.standin.http.CallHeaders;
import org.damasktiller.standin.http.JsonResponses;
import org.damasktiller.standin.http.JsonServlets;
import org.damasktiller.table.KindOfWork;
import org.damasktiller.table.OperatorTable;
import org.jspecify.annotations.Nullable;

/** Serves the callers' interface to jobs: submit, state and cancel. */
public final class JobServlets {

    /** The value of that header. */
    public static final String FORWARDED_VALUE = "1";

    /** The start of the path of every call. */
    public static final String PATH = "/v1/jobs";

    /** The longest request key accepted, in characters. */
    private static final int MAXIMUM_KEY_LENGTH = 200;

    /** The name of the outcome of an accepted job. */
    private static final String ACCEPTED_OUTCOME = "accepted";

    /** The name of the path's parameter. */
    private static final String NAME_PARAMETER = "name";

    /** The status of an accepted job. */
    private static final int ACCEPTED = 202;

    /** The status of a job whose state is told. */
    private static final int OK = 200;

    /** Gives the table in force. */
    private final Supplier<OperatorTable> table;

    /** The division into cells. */
    private final CellLayout layout;

    /** Finds the owners of cells. */
    private final JobRouter router;

    /** The largest body accepted, in bytes. */
    private final int maximumBodyBytes;

    /** The histograms and counters. */
    private final WorkMetrics metrics;

    /** The clock. */
    private final CurrentTimeProvider clock;

    /**
     * Creates the servlets.
     *
     * @param table gives the table in force
     * @param layout the division into cells
     * @param router finds the owners of cells
     * @param maximumBodyBytes the largest body accepted, in bytes
     * @param metrics the histograms and counters
     * @param clock the clock
     */
    public JobServlets(
            Supplier<OperatorTable> table,
            CellLayout layout,
            JobRouter router,
            int maximumBodyBytes,
            WorkMetrics metrics,
            CurrentTimeProvider clock) {
        this.metrics = metrics;
        this.clock = clock;
        this.table = table;
        this.layout = layout;
        this.router = router;
        this.maximumBodyBytes = maximumBodyBytes;
    }

    /**
     * Makes the routes.
     *
     * @param reactor the reactor that serves
     * @return the routes
     */
    public RoutingServlet routes(Reactor reactor) {
        String path = PATH + "/:" + NAME_PARAMETER;
        return RoutingServlet.builder(reactor)
                .with(HttpMethod.POST, path, JsonServlets.guarded(this::submit))
                .with(
                        HttpMethod.GET,
                        path,
                        JsonServlets.guarded(
                                request ->
                                        router.query(job(request), forwarded(request))
                                                .map(reply -> respond(OK, reply))))
                .with(
                        HttpMethod.DELETE,
                        path,
                        JsonServlets.guarded(
                                request ->
                                        router.cancel(job(request), forwarded(request))
                                                .map(reply -> respond(OK, reply))))
                .build();
    }

    /**
     * Submits a job.
     *
     * @param request the request, whose path names the kind of work
     * @return the response
     */
    private Promise<HttpResponse> submit(HttpRequest request) {
        KindOfWork kind = kind(request.getPathParameter(NAME_PARAMETER));
        RequestKey key = key(request);
        long startMillis = clock.currentTimeMillis();
        return JsonServlets.body(request, maximumBodyBytes)
                .map(JobServlets::text)
                .then(
                        payload ->
                                router.submit(
                                        layout.cellOf(kind.tenant(), key, kind.places()),
                                        JobSubmission.of(key, kind, payload),
                                        forwarded(request)))
                .whenComplete((reply, exception) -> record(kind, startMillis, reply, exception))
                .map(reply -> respond(ACCEPTED, reply));
    }

    /**
     * Records how long the answer to a submission took, and how it ended.
     *
     * @param kind the kind of work
     * @param startMillis when the submission came, in milliseconds
     * @param reply the reply of the owner, or null if the submission failed
     * @param exception the error, or null
     */
    private void record(
            KindOfWork kind,
            long startMillis,
            @Nullable JobReply reply,
            @Nullable Exception exception) {
        long millis = Math.max(0, clock.currentTimeMillis() - startMillis);
        metrics.recordLatency(kind.tenant(), kind.name(), millis);
        metrics.countOutcome(kind.tenant(), kind.name(), outcome(reply, exception));
    }

    /**
     * Names the end of a submission.
     *
     * @param reply the reply of the owner, or null if the submission failed
     * @param exception the error, or null
     * @return the name
     */
    private static String outcome(@Nullable JobReply reply, @Nullable Exception exception) {
        if (reply instanceof JobRefusal refusal) {
            return refusal.code().name();
        }
        if (exception instanceof DamasktillerException failure) {
            return failure.code().name();
        }
        return exception == null ? ACCEPTED_OUTCOME : exception.getClass().getSimpleName();
    }

    /**
     * Finds a kind of work.
     *
     * @param name the name
     * @return the row of the table
     */
    private KindOfWork kind(String name) {
        return table.get()
                .row(new KindName(name))
                .orElseThrow(
                        () ->
                                refused(
                                        ErrorCode.UNKNOWN_KIND,
                                        "the table has no kind of work " + name));
    }

    /**
     * Reads the request key.
     *
     * @param request the request
     * @return the key
     */
    private static RequestKey key(HttpRequest request) {
        String value = request.getHeader(CallHeaders.KEY);
        if (value == null || value.isBlank()) {
            throw refused(
                    ErrorCode.MISSING_KEY,
                    "a job needs the header " + CallHeaders.KEY + " with its key");
        }
        if (value.length() > MAXIMUM_KEY_LENGTH) {
            throw refused(
                    ErrorCode.BAD_REQUEST,
                    "a key of " + value.length() + " characters, allowed " + MAXIMUM_KEY_LENGTH);
        }
        return new RequestKey(value.trim());
    }

    /**
     * Tells whether another entry VM passed a call on.
     *
     * @param request the request
     * @return whether it did
     */
    private static boolean forwarded(HttpRequest request) {
        return FORWARDED_VALUE.equals(request.getHeader(CallHeaders.FORWARDED));
    }

    /**
     * Reads the job of a request.
     *
     * @param request the request, whose path names the job
     * @return the job
     */
    private static JobId job(HttpRequest request) {
        return new JobId(request.getPathParameter(NAME_PARAMETER));
    }

    /**
     * Reads a text in UTF-8.
     *
     * @param bytes the bytes
     * @return the text
     */
    private static String text(byte[] bytes) {
        try {
            return StandardCharsets.UTF_8.newDecoder().decode(ByteBuffer.wrap(bytes)).toString();
        } catch (CharacterCodingException exception) {
            throw refused(ErrorCode.BAD_ENCODING, "the body is not valid UTF-8");
        }
    }

    /**
     * Makes the response for a reply of the owner.
     *
     * @param status the status if the owner told the state of the job
     * @param reply the reply
     * @return the response
     */
    private static HttpResponse respond(int status, JobReply reply) {
        if (reply instanceof JobRefusal refusal) {
            DamasktillerException failure =
                    new DamasktillerException(
                            refusal.code(), Step.ADMIT, "", refusal.outcome(), refusal.message());
            return JsonResponses.error(failure, refusal.retryAfterMillis());
        }
        return JsonResponses.withStatus(status, JobBody.of(((JobAnswer) reply).status()));
    }

    /**
     * Makes the error of a request that is refused before anything was done.
     *
     * @param code the code
     * @param message what is wrong and what is allowed
     * @return the error
     */
    private static DamasktillerException refused(ErrorCode code, String message) {
        return new DamasktillerException(code, Step.ACCEPT, "", Outcome.NOT_RUN, message);
    }
}
