package org.damasktiller.standin.http;

import com.fasterxml.jackson.annotation.JsonInclude;
import org.damasktiller.error.DamasktillerException;
import org.damasktiller.error.ErrorCode;
import org.damasktiller.error.Outcome;
import org.damasktiller.error.Step;

/**
 * Holds the JSON body of a failed call.
 *
 * @param code the code of the error
 * @param step the step at which it arose
 * @param peer the peer concerned, or an empty text
 * @param outcome whether the work was run
 * @param message what happened and what is allowed
 * @param retryAfterMillis when to try again, in milliseconds, zero if trying again is of no use
 */
@JsonInclude(JsonInclude.Include.ALWAYS)
public record ErrorBody(
        ErrorCode code,
        Step step,
        String peer,
        Outcome outcome,
        String message,
        long retryAfterMillis) {

    /**
     * Makes the body for an error.
     *
     * @param exception the error
     * @param retryAfterMillis when to try again, in milliseconds, zero if of no use
     * @return the body
     */
    public static ErrorBody of(DamasktillerException exception, long retryAfterMillis) {
        return new ErrorBody(
                exception.code(),
                exception.step(),
                exception.peer(),
                exception.outcome(),
                String.valueOf(exception.getMessage()),
                retryAfterMillis);
    }

    /**
     * Makes the error again on the side that received the body.
     *
     * @return the error
     */
    public DamasktillerException toException() {
        return new DamasktillerException(code, step, peer, outcome, message);
    }
}
