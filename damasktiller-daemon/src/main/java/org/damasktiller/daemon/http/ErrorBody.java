package org.damasktiller.daemon.http;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.activej.http.HttpHeaders;
import io.activej.http.HttpResponse;
import org.damasktiller.error.DamasktillerException;
import org.damasktiller.error.ErrorCode;
import org.damasktiller.error.Outcome;
import org.damasktiller.error.Step;

/**
 * Holds an error as it is shown to callers, in JSON. Every HTTP interface renders its errors with
 * this type.
 *
 * @param code the code of the error
 * @param step the step at which it arose
 * @param peer the peer concerned, or an empty text
 * @param outcome whether the work was run
 * @param retryAfterMillis after what delay a new request is sensible, in milliseconds, zero if it
 *     is not
 * @param message what happened and what is allowed
 */
public record ErrorBody(
        ErrorCode code,
        Step step,
        String peer,
        Outcome outcome,
        long retryAfterMillis,
        String message) {

    /** Writes the JSON. */
    private static final ObjectMapper MAPPER = new ObjectMapper();

    /** The number of milliseconds in a second. */
    private static final long MILLIS_PER_SECOND = 1000;

    /**
     * Renders an error as a response with the status that fits its code.
     *
     * @param error the error
     * @param retryAfterMillis the delay proposed to the caller, in milliseconds, zero for none
     * @return the response, with a {@code Retry-After} header in whole seconds if a delay is given
     */
    public static HttpResponse response(DamasktillerException error, long retryAfterMillis) {
        ErrorBody body =
                new ErrorBody(
                        error.code(),
                        error.step(),
                        error.peer(),
                        error.outcome(),
                        retryAfterMillis,
                        String.valueOf(error.getMessage()));
        HttpResponse.Builder response = HttpResponse.ofCode(status(error.code()).code());
        if (retryAfterMillis > 0) {
            long seconds = (retryAfterMillis + MILLIS_PER_SECOND - 1) / MILLIS_PER_SECOND;
            response.withHeader(HttpHeaders.RETRY_AFTER, Long.toString(seconds));
        }
        return response.withJson(body.json()).build();
    }

    /**
     * Returns the error as JSON.
     *
     * @return the text
     */
    public String json() {
        try {
            return MAPPER.writeValueAsString(this);
        } catch (JsonProcessingException e) {
            throw new IllegalStateException("error body cannot be written", e);
        }
    }

    /**
     * Returns the status that fits a code.
     *
     * @param code the code
     * @return the status
     */
    private static HttpStatus status(ErrorCode code) {
        return switch (code) {
            case BAD_REQUEST, BAD_ENCODING, BAD_TABLE, BAD_SETTING, MISSING_KEY ->
                    HttpStatus.BAD_REQUEST;
            case UNKNOWN_KIND, UNKNOWN_JOB -> HttpStatus.NOT_FOUND;
            case TABLE_CONFLICT, ALREADY_CLAIMED -> HttpStatus.CONFLICT;
            case BODY_TOO_LARGE -> HttpStatus.TOO_LARGE;
            case NEVER_RUNNABLE -> HttpStatus.UNPROCESSABLE;
            case QUOTA_EXCEEDED -> HttpStatus.TOO_MANY_REQUESTS;
            case ENDPOINT_FAILED, PROTOCOL_ERROR -> HttpStatus.BAD_GATEWAY;
            case DEADLINE_EXCEEDED -> HttpStatus.GATEWAY_TIMEOUT;
            default -> HttpStatus.UNAVAILABLE;
        };
    }
}
