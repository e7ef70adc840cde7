package org.damasktiller.standin.http;

import io.activej.http.HttpHeaders;
import io.activej.http.HttpResponse;
import java.lang.System.Logger;
import org.damasktiller.error.DamasktillerException;
import org.damasktiller.error.ErrorCode;
import org.damasktiller.error.Outcome;
import org.damasktiller.error.Step;

/** Makes HTTP responses with JSON bodies. */
public final class JsonResponses {

    /** The delay told to a caller whose request may succeed later, in milliseconds. */
    public static final long DEFAULT_RETRY_AFTER_MILLIS = 1_000;

    /** The number of milliseconds in a second. */
    private static final long MILLIS_PER_SECOND = 1_000;

    /** The status of a request that was carried out. */
    private static final int OK = 200;

    /** The status of an error inside this server. */
    private static final int INTERNAL_ERROR = 500;

    /** The log. */
    private static final Logger LOGGER = System.getLogger(JsonResponses.class.getName());

    /** Prevents instantiation. */
    private JsonResponses() {}

    /**
     * Makes a response of status 200.
     *
     * @param body the object to send
     * @return the response
     */
    public static HttpResponse ok(Object body) {
        return withStatus(OK, body);
    }

    /**
     * Makes a response.
     *
     * @param status the HTTP status
     * @param body the object to send
     * @return the response
     */
    public static HttpResponse withStatus(int status, Object body) {
        return HttpResponse.ofCode(status).withJson(Json.write(body)).build();
    }

    /**
     * Makes the response for an error. An error without a code is logged and reported without its
     * details.
     *
     * @param exception the error
     * @return the response
     */
    public static HttpResponse error(Exception exception) {
        if (exception instanceof DamasktillerException failure) {
            return error(failure, defaultRetryAfter(failure.code()));
        }
        LOGGER.log(Logger.Level.ERROR, "request failed without a code", exception);
        return withStatus(
                INTERNAL_ERROR,
                new ErrorBody(
                        ErrorCode.PROTOCOL_ERROR,
                        Step.ACCEPT,
                        "",
                        Outcome.OUTCOME_UNKNOWN,
                        "internal error " + exception.getClass().getSimpleName(),
                        0));
    }

    /**
     * Makes the response for an error with a delay after which to try again.
     *
     * @param failure the error
     * @param retryAfterMillis the delay, in milliseconds, zero if trying again is of no use
     * @return the response
     */
    public static HttpResponse error(DamasktillerException failure, long retryAfterMillis) {
        HttpResponse.Builder builder = HttpResponse.ofCode(HttpCodes.statusOf(failure.code()));
        if (retryAfterMillis > 0) {
            long seconds = (retryAfterMillis + MILLIS_PER_SECOND - 1) / MILLIS_PER_SECOND;
            builder.withHeader(HttpHeaders.RETRY_AFTER, Long.toString(seconds));
        }
        return builder.withJson(Json.write(ErrorBody.of(failure, retryAfterMillis))).build();
    }

    /**
     * Returns the delay for errors that pass by themselves.
     *
     * @param code the code of the error
     * @return the delay, in milliseconds, or zero
     */
    private static long defaultRetryAfter(ErrorCode code) {
        return switch (code) {
            case OVERLOADED, QUOTA_EXCEEDED, STORE_UNAVAILABLE, NO_ENDPOINT, DRAINING, NOT_OWNER ->
                    DEFAULT_RETRY_AFTER_MILLIS;
            default -> 0;
        };
    }
}
