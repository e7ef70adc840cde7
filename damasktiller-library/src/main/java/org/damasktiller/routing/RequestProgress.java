package org.damasktiller.routing;

import java.util.List;
import org.damasktiller.error.Outcome;

/** Decides how requests go on when something is due or an attempt ended. */
final class RequestProgress {

    /** The endpoints. */
    private final EndpointSet endpoints;

    /** Gives requests their slots. */
    private final RequestDispatcher dispatcher;

    /** Decides on second tries. */
    private final RetryPolicy retryPolicy;

    /**
     * Creates the decisions.
     *
     * @param endpoints the endpoints
     * @param dispatcher gives requests their slots
     * @param retryPolicy decides on second tries
     */
    RequestProgress(EndpointSet endpoints, RequestDispatcher dispatcher, RetryPolicy retryPolicy) {
        this.endpoints = endpoints;
        this.dispatcher = dispatcher;
        this.retryPolicy = retryPolicy;
    }

    /**
     * Handles one request that is due.
     *
     * @param pending the request
     * @param nowMillis the time, in milliseconds
     * @param actions where to add what to do
     */
    void handleDue(PendingRequest pending, long nowMillis, List<RoutingAction> actions) {
        RoutingRequest request = pending.request();
        if (request.deadlineMillis() <= nowMillis) {
            passDeadline(pending, nowMillis, actions);
        } else if (pending.queueUntilMillis <= nowMillis) {
            long waited = request.deadlineMillis() - pending.queueUntilMillis;
            Outcome outcome = pending.outcome();
            dispatcher.finish(pending, nowMillis, actions);
            actions.add(Refusals.overloaded(request.number(), outcome, waited));
        } else if (pending.retryMillis <= nowMillis) {
            dispatcher.dispatch(pending, nowMillis, actions);
        } else if (pending.hedgeMillis <= nowMillis) {
            dispatcher.hedge(pending, retryPolicy, nowMillis, actions);
        } else {
            giveUpAttempts(pending, nowMillis, actions);
        }
    }

    /**
     * Gives up a request whose deadline passed, blaming the endpoints that still had it.
     *
     * @param pending the request
     * @param nowMillis the time, in milliseconds
     * @param actions where to add what to do
     */
    private void passDeadline(PendingRequest pending, long nowMillis, List<RoutingAction> actions) {
        String peer = "";
        for (Attempt attempt : List.copyOf(pending.attempts())) {
            peer = attempt.endpoint().description().id().value();
            pending.take(attempt.id());
            dispatcher.abort(pending, attempt, true, nowMillis, actions);
        }
        Outcome outcome = pending.outcome();
        dispatcher.finish(pending, nowMillis, actions);
        if (!pending.abandoned) {
            actions.add(Refusals.deadline(pending.request().number(), outcome, peer));
        }
    }

    /**
     * Gives up the attempts of a request that timed out.
     *
     * @param pending the request
     * @param nowMillis the time, in milliseconds
     * @param actions where to add what to do
     */
    private void giveUpAttempts(
            PendingRequest pending, long nowMillis, List<RoutingAction> actions) {
        Attempt last = null;
        for (Attempt attempt : List.copyOf(pending.attempts())) {
            if (attempt.timeoutMillis() <= nowMillis) {
                pending.take(attempt.id());
                dispatcher.abort(pending, attempt, true, nowMillis, actions);
                last = attempt;
            }
        }
        if (last != null) {
            noteRequest(pending, last, AttemptOutcome.BROKEN, nowMillis, actions);
        }
    }

    /**
     * Updates what is known of an endpoint.
     *
     * @param attempt the attempt that ended
     * @param outcome how it ended
     * @param nowMillis the time, in milliseconds
     * @param actions where to add what to do
     */
    void noteEndpoint(
            Attempt attempt, AttemptOutcome outcome, long nowMillis, List<RoutingAction> actions) {
        EndpointState endpoint = attempt.endpoint();
        switch (outcome) {
            case ANSWERED -> {
                long latency = Math.max(0, nowMillis - attempt.sentMillis());
                endpoint.answered(latency, endpoints.allowed(endpoint, nowMillis));
                dispatcher.service().add((double) latency);
            }
            case DRAINING -> {
                endpoint.released();
                if (endpoint.noteLeaving()) {
                    actions.add(new RoutingAction.ReportLeaving(endpoint.description().id()));
                    dispatcher.refuseUnservable(nowMillis, actions);
                }
            }
            case BUSY -> endpoint.busy();
            default -> endpoint.failed();
        }
        endpoints.ejectIfOutlier(endpoint, nowMillis);
    }

    /**
     * Decides how a request goes on after an attempt.
     *
     * @param pending the request
     * @param attempt the attempt that ended
     * @param outcome how it ended
     * @param nowMillis the time, in milliseconds
     * @param actions where to add what to do
     */
    void noteRequest(
            PendingRequest pending,
            Attempt attempt,
            AttemptOutcome outcome,
            long nowMillis,
            List<RoutingAction> actions) {
        pending.maybeRun |= outcome == AttemptOutcome.BROKEN || outcome == AttemptOutcome.FAILED;
        boolean answered = outcome == AttemptOutcome.ANSWERED;
        if (!answered && !pending.attempts().isEmpty()) {
            dispatcher.timers().update(pending);
            return;
        }
        long delay =
                answered || pending.abandoned
                        ? RetryPolicy.NO_RETRY
                        : retryPolicy.retryDelay(pending, outcome, nowMillis);
        if (delay != RetryPolicy.NO_RETRY) {
            retry(pending, delay, nowMillis, actions);
            return;
        }
        Outcome last = pending.outcome();
        dispatcher.finish(pending, nowMillis, actions);
        if (pending.abandoned) {
            return;
        }
        long number = pending.request().number();
        if (answered || outcome == AttemptOutcome.FAILED) {
            actions.add(new RoutingAction.Deliver(number, attempt.id()));
            return;
        }
        String peer = attempt.endpoint().description().id().value();
        actions.add(Refusals.endpointFailed(number, last, peer));
    }

    /**
     * Tries a request again, at once or after a delay.
     *
     * @param pending the request
     * @param delayMillis the delay, in milliseconds
     * @param nowMillis the time, in milliseconds
     * @param actions where to add what to do
     */
    private void retry(
            PendingRequest pending, long delayMillis, long nowMillis, List<RoutingAction> actions) {
        pending.hedgeMillis = PendingRequest.NEVER;
        if (delayMillis == 0) {
            dispatcher.dispatch(pending, nowMillis, actions);
            return;
        }
        pending.retryMillis = nowMillis + delayMillis;
        dispatcher.timers().update(pending);
    }
}
