package org.damasktiller.node.caller;

import org.damasktiller.error.ErrorCode;
import org.damasktiller.platform.ingress.CallerCodec;
import org.damasktiller.scheduler.model.SubmissionState;

/**
 * An answer to a caller.
 *
 * @param status the HTTP status
 * @param body the body
 * @param retryAfterSeconds when to come back, in seconds, zero if that is of no use
 */
@SuppressWarnings("ArrayRecordComponent")
record CallerAnswer(int status, byte[] body, int retryAfterSeconds) {

    /** The status of success. */
    private static final int OK = 200;

    /** The status of a malformed request. */
    private static final int BAD_REQUEST = 400;

    /** The status of an unknown route. */
    private static final int NOT_FOUND = 404;

    /** The status of an unknown submission. */
    private static final int GONE = 410;

    /** The status of a body that is too large. */
    private static final int TOO_LARGE = 413;

    /** The status of a request that was not carried out. */
    private static final int UNAVAILABLE = 503;

    /** The status of an outcome that is not known. */
    private static final int OUTCOME_UNKNOWN = 504;

    /** When a caller whose request was not carried out should come back, in seconds. */
    private static final int RETRY_AFTER_SECONDS = 1;

    /**
     * Makes the answer to an accepted submission.
     *
     * @return the answer
     */
    static CallerAnswer accepted() {
        return new CallerAnswer(OK, CallerCodec.encodeState(SubmissionState.QUEUED), 0);
    }

    /**
     * Makes the answer that tells a state.
     *
     * @param state the state
     * @return the answer
     */
    static CallerAnswer state(SubmissionState state) {
        return new CallerAnswer(OK, CallerCodec.encodeState(state), 0);
    }

    /**
     * Makes the answer that tells how many submissions wait.
     *
     * @param count the number
     * @return the answer
     */
    static CallerAnswer pending(int count) {
        return new CallerAnswer(OK, CallerCodec.encodePendingCount(count), 0);
    }

    /**
     * Makes the answer of a request that no route takes.
     *
     * @return the answer
     */
    static CallerAnswer noRoute() {
        return new CallerAnswer(
                NOT_FOUND,
                CallerCodec.encodeError(ErrorCode.UNKNOWN_KIND, "no route takes this path"),
                0);
    }

    /**
     * Makes the answer about a submission that does not exist.
     *
     * @return the answer
     */
    static CallerAnswer unknownSubmission() {
        return new CallerAnswer(
                GONE,
                CallerCodec.encodeError(ErrorCode.UNKNOWN_JOB, "no such submission is stored"),
                0);
    }

    /**
     * Makes the answer to a malformed request.
     *
     * @param message what is wrong
     * @return the answer
     */
    static CallerAnswer malformed(String message) {
        return new CallerAnswer(
                BAD_REQUEST, CallerCodec.encodeError(ErrorCode.BAD_REQUEST, message), 0);
    }

    /**
     * Makes the answer to a body that is too large.
     *
     * @param limit the largest body, in bytes
     * @return the answer
     */
    static CallerAnswer tooLarge(int limit) {
        return new CallerAnswer(
                TOO_LARGE,
                CallerCodec.encodeError(
                        ErrorCode.BODY_TOO_LARGE, "a body may have " + limit + " bytes"),
                0);
    }

    /**
     * Makes the answer of a request that was certainly not carried out.
     *
     * @param message why
     * @return the answer
     */
    static CallerAnswer notCarriedOut(String message) {
        return new CallerAnswer(
                UNAVAILABLE,
                CallerCodec.encodeError(ErrorCode.STORE_UNAVAILABLE, message),
                RETRY_AFTER_SECONDS);
    }

    /**
     * Makes the answer of a request that may have been carried out.
     *
     * @param message why that is not known
     * @return the answer
     */
    static CallerAnswer outcomeUnknown(String message) {
        return new CallerAnswer(
                OUTCOME_UNKNOWN,
                CallerCodec.encodeError(ErrorCode.STORE_UNAVAILABLE, message),
                RETRY_AFTER_SECONDS);
    }
}
