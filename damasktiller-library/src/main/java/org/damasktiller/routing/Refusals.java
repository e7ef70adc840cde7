package org.damasktiller.routing;

import org.damasktiller.error.DamasktillerException;
import org.damasktiller.error.ErrorCode;
import org.damasktiller.error.Outcome;
import org.damasktiller.error.Step;
import org.jspecify.annotations.Nullable;

/** Builds the errors with which the router refuses or gives up requests. */
final class Refusals {

    /** The delay proposed to callers when no endpoint works, in milliseconds. */
    static final long OUTAGE_RETRY_MILLIS = 1000;

    /** The delay proposed to callers of a VM that is leaving, in milliseconds. */
    static final long DRAIN_RETRY_MILLIS = 1;

    /** Prevents instantiation. */
    private Refusals() {}

    /**
     * Refuses a request because the VM is leaving.
     *
     * @param number the request
     * @return the action
     */
    static RoutingAction draining(long number) {
        return refuse(
                number,
                new DamasktillerException(
                        ErrorCode.DRAINING,
                        Step.ADMIT,
                        "",
                        Outcome.NOT_RUN,
                        "this entry VM is leaving"),
                DRAIN_RETRY_MILLIS);
    }

    /**
     * Decides whether a new request is refused before a slot is sought.
     *
     * @param pending the request
     * @param nowMillis the time, in milliseconds
     * @return the refusal, or null
     */
    static @Nullable RoutingAction unfit(PendingRequest pending, long nowMillis) {
        RoutingRequest request = pending.request();
        if (pending.atMostOnce() && request.key() == null) {
            return missingKey(request.number());
        }
        if (request.deadlineMillis() <= nowMillis) {
            return deadline(request.number(), Outcome.NOT_RUN, "");
        }
        return null;
    }

    /**
     * Refuses an at-most-once request without a key.
     *
     * @param number the request
     * @return the action
     */
    private static RoutingAction missingKey(long number) {
        return refuse(
                number,
                new DamasktillerException(
                        ErrorCode.MISSING_KEY,
                        Step.ADMIT,
                        "",
                        Outcome.NOT_RUN,
                        "an at-most-once request needs an idempotency key"),
                0);
    }

    /**
     * Refuses a request because no endpoint may receive it.
     *
     * @param number the request
     * @param outcome whether an earlier attempt may have run it
     * @return the action
     */
    static RoutingAction noEndpoint(long number, Outcome outcome) {
        return refuse(
                number,
                new DamasktillerException(
                        ErrorCode.NO_ENDPOINT,
                        Step.ROUTE,
                        "",
                        outcome,
                        "no endpoint is available where the table allows the request"),
                OUTAGE_RETRY_MILLIS);
    }

    /**
     * Refuses a request because it would wait too long.
     *
     * @param number the request
     * @param outcome whether an earlier attempt may have run it
     * @param waitMillis the expected wait, in milliseconds
     * @return the action
     */
    static RoutingAction overloaded(long number, Outcome outcome, long waitMillis) {
        return refuse(
                number,
                new DamasktillerException(
                        ErrorCode.OVERLOADED,
                        Step.ADMIT,
                        "",
                        outcome,
                        "expected wait of " + waitMillis + " ms is too long"),
                Math.max(1, waitMillis));
    }

    /**
     * Gives up a request whose deadline passed.
     *
     * @param number the request
     * @param outcome whether it may have run
     * @param peer the endpoint last tried, or an empty text
     * @return the action
     */
    static RoutingAction deadline(long number, Outcome outcome, String peer) {
        return refuse(
                number,
                new DamasktillerException(
                        ErrorCode.DEADLINE_EXCEEDED,
                        peer.isEmpty() ? Step.ADMIT : Step.FORWARD,
                        peer,
                        outcome,
                        "the deadline passed"),
                0);
    }

    /**
     * Gives up a request because the endpoint failed.
     *
     * @param number the request
     * @param outcome whether it may have run
     * @param peer the endpoint last tried
     * @return the action
     */
    static RoutingAction endpointFailed(long number, Outcome outcome, String peer) {
        return refuse(
                number,
                new DamasktillerException(
                        ErrorCode.ENDPOINT_FAILED,
                        Step.FORWARD,
                        peer,
                        outcome,
                        "the endpoint failed and no further try is allowed"),
                OUTAGE_RETRY_MILLIS);
    }

    /**
     * Refuses a request whose claim was not granted.
     *
     * @param number the request
     * @param claim how the claim ended, not GRANTED
     * @return the action
     */
    static RoutingAction claimFailed(long number, ClaimOutcome claim) {
        if (claim == ClaimOutcome.ALREADY_CLAIMED) {
            return refuse(
                    number,
                    new DamasktillerException(
                            ErrorCode.ALREADY_CLAIMED,
                            Step.CLAIM,
                            "",
                            Outcome.OUTCOME_UNKNOWN,
                            "a request with this key was sent before"),
                    0);
        }
        return refuse(
                number,
                new DamasktillerException(
                        ErrorCode.STORE_UNAVAILABLE,
                        Step.CLAIM,
                        "store",
                        Outcome.NOT_RUN,
                        "the claim could not be committed"),
                OUTAGE_RETRY_MILLIS);
    }

    /**
     * Builds the action.
     *
     * @param number the request
     * @param error the error
     * @param retryAfterMillis the proposed delay, in milliseconds
     * @return the action
     */
    private static RoutingAction refuse(
            long number, DamasktillerException error, long retryAfterMillis) {
        return new RoutingAction.Refuse(number, error, retryAfterMillis);
    }
}
