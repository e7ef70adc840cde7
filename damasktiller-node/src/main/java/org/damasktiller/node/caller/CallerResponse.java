package org.damasktiller.node.caller;

import org.damasktiller.error.ErrorCode;
import org.damasktiller.platform.ingress.CallerCodec;
import org.damasktiller.scheduler.cell.TombstoneCause;
import org.damasktiller.scheduler.model.SubmissionState;

/**
 * The response to a caller's request: HTTP status, JSON body and retry advice.
 *
 * @param status the HTTP status code
 * @param body the JSON body, encoded in UTF-8
 * @param retryAfterSeconds the value of the Retry-After header, in seconds; 0 omits the header, for
 *     responses after which a retry is of no use
 */
@SuppressWarnings("ArrayRecordComponent")
record CallerResponse(int status, byte[] body, int retryAfterSeconds) {

    /** The status of a request that succeeded. */
    private static final int OK = 200;

    /** The status of a malformed request. */
    private static final int BAD_REQUEST = 400;

    /** The status of a request that matches no route. */
    private static final int NOT_FOUND = 404;

    /** The status of a request for a submission that is not stored. */
    private static final int GONE = 410;

    /** The status of a request whose body is too large. */
    private static final int PAYLOAD_TOO_LARGE = 413;

    /** The status of a request that certainly had no effect. */
    private static final int SERVICE_UNAVAILABLE = 503;

    /** The status of a request that may or may not have taken effect. */
    private static final int GATEWAY_TIMEOUT = 504;

    /** The Retry-After value of responses with status 503 or 504, in seconds. */
    private static final int RETRY_AFTER_SECONDS = 1;

    /**
     * The Retry-After value of a submission that no worker can hold, in seconds: larger workers are
     * not added at short notice, and its tombstone is removed by then.
     */
    private static final int UNSERVABLE_RETRY_AFTER_SECONDS = 180;

    /**
     * The Retry-After value of a submission to a full cell, in seconds: its owner publishes twice a
     * second whether it has room, which work that ends leaves.
     */
    private static final int FULL_RETRY_AFTER_SECONDS = 5;

    /**
     * Creates the response to an accepted submission.
     *
     * @return status 200 with the state QUEUED
     */
    static CallerResponse accepted() {
        return new CallerResponse(OK, CallerCodec.encodeState(SubmissionState.QUEUED), 0);
    }

    /**
     * Creates a response with the state of a submission.
     *
     * @param state the state
     * @return status 200 with the state
     */
    static CallerResponse state(SubmissionState state) {
        return new CallerResponse(OK, CallerCodec.encodeState(state), 0);
    }

    /**
     * Creates a response with the number of pending submissions of a route.
     *
     * @param count the number of submissions none of whose tasks has started
     * @return status 200 with the count
     */
    static CallerResponse pending(int count) {
        return new CallerResponse(OK, CallerCodec.encodePendingCount(count), 0);
    }

    /**
     * Creates the response to a request that matches no route.
     *
     * @return status 404 with the error code UNKNOWN_KIND
     */
    static CallerResponse routeNotFound() {
        return new CallerResponse(
                NOT_FOUND,
                CallerCodec.encodeError(
                        ErrorCode.UNKNOWN_KIND, "no route matches the host and path"),
                0);
    }

    /**
     * Creates the response to a request for a submission that is not stored.
     *
     * @return status 410 with the error code UNKNOWN_JOB
     */
    static CallerResponse unknownSubmission() {
        return new CallerResponse(
                GONE,
                CallerCodec.encodeError(
                        ErrorCode.UNKNOWN_JOB, "no submission with this identifier is stored"),
                0);
    }

    /**
     * Creates the response to a malformed request.
     *
     * @param message what is wrong with the request
     * @return status 400 with the error code BAD_REQUEST
     */
    static CallerResponse malformed(String message) {
        return new CallerResponse(
                BAD_REQUEST, CallerCodec.encodeError(ErrorCode.BAD_REQUEST, message), 0);
    }

    /**
     * Creates the response to a request whose body is too large.
     *
     * @param limitBytes the maximum size of a body, in bytes
     * @return status 413 with the error code BODY_TOO_LARGE
     */
    static CallerResponse bodyTooLarge(int limitBytes) {
        return new CallerResponse(
                PAYLOAD_TOO_LARGE,
                CallerCodec.encodeError(
                        ErrorCode.BODY_TOO_LARGE,
                        "the body exceeds the limit of " + limitBytes + " bytes"),
                0);
    }

    /**
     * Creates the response to a request that certainly had no effect, so that the caller can retry
     * it without the risk of a second execution.
     *
     * @param message why the request failed
     * @return status 503 with the error code STORE_UNAVAILABLE and a Retry-After header
     */
    static CallerResponse notExecuted(String message) {
        return new CallerResponse(
                SERVICE_UNAVAILABLE,
                CallerCodec.encodeError(ErrorCode.STORE_UNAVAILABLE, message),
                RETRY_AFTER_SECONDS);
    }

    /**
     * Creates the response to a request that this VM had no room to read, or that did not arrive in
     * time. It certainly had no effect.
     *
     * @param message why it was not read
     * @return status 503 with the error code OVERLOADED and a Retry-After header
     */
    static CallerResponse overloaded(String message) {
        return new CallerResponse(
                SERVICE_UNAVAILABLE,
                CallerCodec.encodeError(ErrorCode.OVERLOADED, message),
                RETRY_AFTER_SECONDS);
    }

    /**
     * Creates the response to a submission that no worker could run. It never runs.
     *
     * @param message why it can't run
     * @return status 503 with the error code UNSERVABLE and a Retry-After header
     */
    static CallerResponse unservable(String message) {
        return new CallerResponse(
                SERVICE_UNAVAILABLE,
                CallerCodec.encodeError(ErrorCode.UNSERVABLE, message),
                UNSERVABLE_RETRY_AFTER_SECONDS);
    }

    /**
     * Creates the response to a submission for which the owner of its cell has no memory. The
     * request has no effect.
     *
     * @return status 503 with the error code CELL_FULL and a Retry-After header
     */
    static CallerResponse cellFull() {
        return new CallerResponse(
                SERVICE_UNAVAILABLE,
                CallerCodec.encodeError(
                        ErrorCode.CELL_FULL, "too much accepted work has not ended yet"),
                FULL_RETRY_AFTER_SECONDS);
    }

    /**
     * Creates the response to a submission that has a tombstone. It never runs.
     *
     * @param cause why the submission was not stored
     * @return status 503 with the error code CANCELLED_BEFORE and no Retry-After header, or with
     *     the error code UNSERVABLE
     */
    static CallerResponse rejectedBefore(TombstoneCause cause) {
        return switch (cause) {
            case CANCELLED ->
                    new CallerResponse(
                            SERVICE_UNAVAILABLE,
                            CallerCodec.encodeError(
                                    ErrorCode.CANCELLED_BEFORE,
                                    "the submission was cancelled before it was stored"),
                            0);
            case UNSERVABLE ->
                    unservable("the submission was rejected, since no worker could hold a task");
        };
    }

    /**
     * Creates the response to a request that may or may not have taken effect.
     *
     * @param message why the outcome is unknown
     * @return status 504 with the error code STORE_UNAVAILABLE and a Retry-After header
     */
    static CallerResponse outcomeUnknown(String message) {
        return new CallerResponse(
                GATEWAY_TIMEOUT,
                CallerCodec.encodeError(ErrorCode.STORE_UNAVAILABLE, message),
                RETRY_AFTER_SECONDS);
    }

    /**
     * Tells whether the request was denied by the manifest, so that a newer version may allow it.
     *
     * @return whether there is no such queue, or the body exceeds the limit in force
     */
    boolean deniedByManifest() {
        return status == NOT_FOUND || status == PAYLOAD_TOO_LARGE;
    }

    /**
     * Returns whether another VM may be able to carry out the request. A submission that no worker
     * can hold, or that was cancelled, is rejected everywhere, which another Retry-After shows.
     *
     * @return whether the request certainly had no effect, and a retry is of use soon
     */
    boolean mayBeTriedElsewhere() {
        return status == SERVICE_UNAVAILABLE && retryAfterSeconds == RETRY_AFTER_SECONDS;
    }
}
