package org.damasktiller.routing;

import java.util.ArrayList;
import java.util.List;
import org.damasktiller.error.Outcome;
import org.damasktiller.table.Repeat;
import org.jspecify.annotations.Nullable;

/** Keeps one request that is not finished. */
final class PendingRequest {

    /** The time of a timer that is not set, in milliseconds. */
    static final long NEVER = Long.MAX_VALUE;

    /** The endpoint reserved while the claim is under way. */
    @Nullable EndpointState reserved;

    /** Whether the claim was granted, or is not needed. */
    boolean claimed;

    /** Whether the request waits in the queue. */
    boolean queued;

    /** Whether a byte may have reached an endpoint. */
    boolean maybeRun;

    /** Whether the caller is gone. */
    boolean abandoned;

    /** How many attempts were made. */
    int tries;

    /** When the next attempt is due after a delay, in milliseconds. */
    long retryMillis = NEVER;

    /** When the request leaves the queue unsent, in milliseconds. */
    long queueUntilMillis = NEVER;

    /** When a hedge is due, in milliseconds. */
    long hedgeMillis = NEVER;

    /** The time for which the request is in the router's timers, in milliseconds. */
    long timerMillis = NEVER;

    /** The request. */
    private final RoutingRequest request;

    /** The attempts under way. */
    private final List<Attempt> attempts = new ArrayList<>(1);

    /**
     * Creates a request without attempts.
     *
     * @param request the request
     */
    PendingRequest(RoutingRequest request) {
        this.request = request;
        this.claimed = !atMostOnce();
    }

    /**
     * Returns the request.
     *
     * @return the request
     */
    RoutingRequest request() {
        return request;
    }

    /**
     * Returns the attempts under way.
     *
     * @return the attempts, which may be changed
     */
    List<Attempt> attempts() {
        return attempts;
    }

    /**
     * Tells whether the request must not be sent twice.
     *
     * @return whether it is of an at-most-once kind
     */
    boolean atMostOnce() {
        return request.kind().repeat() == Repeat.AT_MOST_ONCE;
    }

    /**
     * Tells whether the request may be sent again after a byte may have left.
     *
     * @return whether it may
     */
    boolean repeatable() {
        return request.kind().repeat() == Repeat.IDEMPOTENT && request.replayable();
    }

    /**
     * Tells whether the request may be sent again after an endpoint refused it unrun.
     *
     * @return whether it may
     */
    boolean sendableAfterRefusal() {
        return !atMostOnce() && !maybeRun && request.replayable();
    }

    /**
     * Takes an attempt out of those under way.
     *
     * @param attemptId the attempt
     * @return the attempt, or null if it is not under way
     */
    @Nullable Attempt take(long attemptId) {
        for (int index = 0; index < attempts.size(); index++) {
            if (attempts.get(index).id() == attemptId) {
                return attempts.remove(index);
            }
        }
        return null;
    }

    /**
     * Returns whether the request may have run, as far as it is known now.
     *
     * @return NOT_RUN only if no attempt can have run it
     */
    Outcome outcome() {
        return maybeRun ? Outcome.OUTCOME_UNKNOWN : Outcome.NOT_RUN;
    }

    /**
     * Returns when the request needs attention next.
     *
     * @return the time, in milliseconds
     */
    long dueMillis() {
        long due = Math.min(request.deadlineMillis(), Math.min(retryMillis, hedgeMillis));
        due = Math.min(due, queueUntilMillis);
        for (Attempt attempt : attempts) {
            due = Math.min(due, attempt.timeoutMillis());
        }
        return due;
    }
}
