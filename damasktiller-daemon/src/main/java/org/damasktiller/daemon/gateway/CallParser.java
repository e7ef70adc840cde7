package org.damasktiller.daemon.gateway;

import io.activej.http.HttpHeader;
import io.activej.http.HttpHeaderValue;
import io.activej.http.HttpHeaders;
import io.activej.http.HttpRequest;
import java.util.Map;
import java.util.function.Function;
import org.damasktiller.error.DamasktillerException;
import org.damasktiller.error.ErrorCode;
import org.damasktiller.error.Outcome;
import org.damasktiller.error.Step;
import org.damasktiller.identity.KindName;
import org.damasktiller.identity.RequestKey;
import org.damasktiller.routing.RoutingRequest;
import org.damasktiller.standin.http.CallHeaders;
import org.damasktiller.table.KindOfWork;
import org.jspecify.annotations.Nullable;

/** Reads and checks the head of a call. */
final class CallParser {

    /** The path parameter that names the kind. */
    static final String KIND_PARAMETER = "kind";

    /** The longest name or key accepted, in characters. */
    private static final int LONGEST_NAME = 256;

    /** The longest deadline accepted, in milliseconds. */
    private static final long LONGEST_DEADLINE_MILLIS = 3_600_000;

    /** Gives the row of the table for a kind. */
    private final Function<KindName, @Nullable KindOfWork> kinds;

    /** How long a caller without a deadline waits, in milliseconds. */
    private final long defaultDeadlineMillis;

    /**
     * Creates a parser.
     *
     * @param kinds gives the row of the table for a kind
     * @param defaultDeadlineMillis how long a caller without a deadline waits, in milliseconds
     */
    CallParser(Function<KindName, @Nullable KindOfWork> kinds, long defaultDeadlineMillis) {
        this.kinds = kinds;
        this.defaultDeadlineMillis = defaultDeadlineMillis;
    }

    /**
     * Reads a call.
     *
     * @param request the request of the caller
     * @param number the number for the router
     * @param replayable whether the body is kept
     * @param nowMillis the time, in milliseconds
     * @return the request for the router
     * @throws DamasktillerException with code BAD_REQUEST or UNKNOWN_KIND
     */
    RoutingRequest parse(HttpRequest request, long number, boolean replayable, long nowMillis) {
        KindOfWork kind = kind(request);
        String key = request.getHeader(CallHeaders.KEY);
        return new RoutingRequest(
                number,
                kind,
                kind.tenant(),
                key == null ? null : new RequestKey(checked("key", key)),
                nowMillis + deadline(request, kind),
                replayable);
    }

    /**
     * Refuses a request whose length is stated twice or is too large, before its body is read.
     *
     * @param request the request
     * @param maximumBytes the largest body, in bytes
     * @throws DamasktillerException with code BAD_REQUEST or BODY_TOO_LARGE
     */
    void checkFraming(HttpRequest request, int maximumBytes) {
        int lengths = 0;
        boolean chunked = false;
        for (Map.Entry<HttpHeader, HttpHeaderValue> header : request.getHeaders()) {
            lengths += header.getKey().equals(HttpHeaders.CONTENT_LENGTH) ? 1 : 0;
            chunked |= header.getKey().equals(HttpHeaders.TRANSFER_ENCODING);
        }
        if (lengths > 1 || (lengths == 1 && chunked)) {
            throw refusal(ErrorCode.BAD_REQUEST, "the length of the body is stated twice");
        }
        String length = request.getHeader(HttpHeaders.CONTENT_LENGTH);
        if (length != null && Long.parseLong(length.trim()) > maximumBytes) {
            throw refusal(ErrorCode.BODY_TOO_LARGE, "the body may have " + maximumBytes + " bytes");
        }
    }

    /**
     * Finds the row of the table that a request names. A kind of another tenant is unknown.
     *
     * @param request the request
     * @return the row
     */
    private KindOfWork kind(HttpRequest request) {
        String name = checked(KIND_PARAMETER, request.getPathParameter(KIND_PARAMETER));
        KindOfWork kind = kinds.apply(new KindName(name));
        String tenant = request.getHeader(CallHeaders.TENANT);
        if (tenant == null) {
            throw refusal(ErrorCode.BAD_REQUEST, "the header Damasktiller-Tenant is missing");
        }
        if (kind == null || !kind.tenant().value().equals(tenant)) {
            throw refusal(ErrorCode.UNKNOWN_KIND, "the tenant has no kind of this name");
        }
        return kind;
    }

    /**
     * Reads how long the caller waits.
     *
     * @param request the request
     * @param kind the row of the table
     * @return the time, in milliseconds, above zero
     */
    private long deadline(HttpRequest request, KindOfWork kind) {
        long allowed = kind.deadlineMillis() > 0 ? kind.deadlineMillis() : LONGEST_DEADLINE_MILLIS;
        String text = request.getHeader(CallHeaders.DEADLINE_MILLIS);
        if (text == null) {
            return Math.min(allowed, defaultDeadlineMillis);
        }
        try {
            long wanted = Long.parseLong(text.trim());
            if (wanted > 0) {
                return Math.min(allowed, wanted);
            }
        } catch (NumberFormatException e) {
            throw refusal(ErrorCode.BAD_REQUEST, "the deadline is not a whole number");
        }
        throw refusal(ErrorCode.BAD_REQUEST, "the deadline is not above zero");
    }

    /**
     * Checks a name.
     *
     * @param what what the name stands for
     * @param text the name
     * @return the name
     */
    private static String checked(String what, String text) {
        if (text.isBlank() || text.length() > LONGEST_NAME) {
            throw refusal(
                    ErrorCode.BAD_REQUEST,
                    "the " + what + " must have 1 to " + LONGEST_NAME + " characters");
        }
        return text;
    }

    /**
     * Builds a refusal.
     *
     * @param code the code
     * @param message what is allowed
     * @return the error
     */
    private static DamasktillerException refusal(ErrorCode code, String message) {
        return new DamasktillerException(code, Step.ACCEPT, "", Outcome.NOT_RUN, message);
    }
}
