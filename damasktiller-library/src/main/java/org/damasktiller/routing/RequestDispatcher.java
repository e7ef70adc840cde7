package org.damasktiller.routing;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.damasktiller.error.Outcome;
import org.jspecify.annotations.Nullable;

/**
 * Gives unfinished requests their slots, lets them wait, and refuses those that would wait long.
 */
final class RequestDispatcher {

    /** The part of the remaining time that a request may wait for a slot. */
    private static final int QUEUE_PART = 2;

    /** How many times the usual latency passes before a hedge. */
    private static final double HEDGE_FACTOR = 3;

    /** The requests that are not finished, by number. */
    private final Map<Long, PendingRequest> unfinished = new HashMap<>();

    /** The requests that wait for a slot. */
    private final RequestQueue queue = new RequestQueue();

    /** The timers. */
    private final RequestTimers timers = new RequestTimers();

    /** The average latency of answers. */
    private final LatencyAverage service = new LatencyAverage();

    /** The settings. */
    private final RoutingSettings settings;

    /** The endpoints. */
    private final EndpointSet endpoints;

    /** The number of the latest attempt. */
    private long lastAttempt;

    /**
     * Creates a dispatcher without requests.
     *
     * @param settings the settings
     * @param endpoints the endpoints
     */
    RequestDispatcher(RoutingSettings settings, EndpointSet endpoints) {
        this.settings = settings;
        this.endpoints = endpoints;
    }

    /**
     * Returns the timers.
     *
     * @return the timers
     */
    RequestTimers timers() {
        return timers;
    }

    /**
     * Returns the average latency of answers.
     *
     * @return the average
     */
    LatencyAverage service() {
        return service;
    }

    /**
     * Returns the number of requests that are not finished.
     *
     * @return the number
     */
    int unfinishedRequests() {
        return unfinished.size();
    }

    /**
     * Returns the number of requests that wait for a slot.
     *
     * @return the number
     */
    int queuedRequests() {
        return queue.size();
    }

    /**
     * Finds an unfinished request.
     *
     * @param number the request
     * @return the request, or null if it is finished
     */
    @Nullable PendingRequest find(long number) {
        return unfinished.get(number);
    }

    /**
     * Takes up a new request.
     *
     * @param pending the request
     * @param nowMillis the time, in milliseconds
     * @param actions where to add what to do
     */
    void begin(PendingRequest pending, long nowMillis, List<RoutingAction> actions) {
        unfinished.put(pending.request().number(), pending);
        dispatch(pending, nowMillis, actions);
    }

    /**
     * Sends a request, asks for its claim first, or lets it wait.
     *
     * @param pending the request
     * @param nowMillis the time, in milliseconds
     * @param actions where to add what to do
     */
    void dispatch(PendingRequest pending, long nowMillis, List<RoutingAction> actions) {
        pending.retryMillis = PendingRequest.NEVER;
        if (queue.ahead(pending.request().kind()) == 0 && place(pending, nowMillis, actions)) {
            return;
        }
        RoutingAction refusal = refusal(pending, nowMillis);
        if (refusal != null) {
            finish(pending, nowMillis, actions);
            actions.add(refusal);
            return;
        }
        long remaining = pending.request().deadlineMillis() - nowMillis;
        pending.queueUntilMillis = nowMillis + Math.max(1, remaining / QUEUE_PART);
        queue.add(pending);
        timers.update(pending);
    }

    /**
     * Sends a request.
     *
     * @param pending the request
     * @param endpoint the endpoint
     * @param nowMillis the time, in milliseconds
     * @param actions where to add what to do
     */
    void send(
            PendingRequest pending,
            EndpointState endpoint,
            long nowMillis,
            List<RoutingAction> actions) {
        RoutingRequest request = pending.request();
        lastAttempt++;
        long timeout =
                Math.min(request.deadlineMillis(), nowMillis + settings.attemptTimeoutMillis());
        endpoint.sent();
        pending.tries++;
        pending.attempts().add(new Attempt(lastAttempt, endpoint, nowMillis, timeout));
        pending.hedgeMillis =
                pending.repeatable() && pending.attempts().size() == 1
                        ? nowMillis + hedgeDelay(nowMillis)
                        : PendingRequest.NEVER;
        timers.update(pending);
        actions.add(
                new RoutingAction.Send(
                        request.number(), lastAttempt, endpoint.description(), timeout));
    }

    /**
     * Makes a second attempt on another endpoint beside the first, if one has a free slot.
     *
     * @param pending the request
     * @param policy allows or forbids it
     * @param nowMillis the time, in milliseconds
     * @param actions where to add what to do
     */
    void hedge(
            PendingRequest pending,
            RetryPolicy policy,
            long nowMillis,
            List<RoutingAction> actions) {
        pending.hedgeMillis = PendingRequest.NEVER;
        if (!pending.attempts().isEmpty()) {
            EndpointState first = pending.attempts().get(0).endpoint();
            EndpointState other = endpoints.choose(pending.request().kind(), first, nowMillis);
            if (other != null && policy.hedge(pending)) {
                send(pending, other, nowMillis, actions);
            }
        }
        timers.update(pending);
    }

    /**
     * Aborts an attempt. The endpoint may go on with it, so that its slot stays in use for a while.
     *
     * @param pending the request
     * @param attempt the attempt, already taken from those under way
     * @param blamed whether the endpoint let it time out
     * @param nowMillis the time, in milliseconds
     * @param actions where to add what to do
     */
    void abort(
            PendingRequest pending,
            Attempt attempt,
            boolean blamed,
            long nowMillis,
            List<RoutingAction> actions) {
        long waited = Math.max(0, nowMillis - attempt.sentMillis());
        pending.maybeRun = true;
        attempt.endpoint().aborted(waited, nowMillis + settings.abandonedSlotMillis(), blamed);
        endpoints.ejectIfOutlier(attempt.endpoint(), nowMillis);
        actions.add(new RoutingAction.Abort(pending.request().number(), attempt.id()));
    }

    /**
     * Keeps the attempt whose answer is on its way to the caller, until the deadline, and aborts
     * the others. Nothing else is handed to the caller any more.
     *
     * @param pending the request
     * @param answering the attempt, already taken from those under way
     * @param nowMillis the time, in milliseconds
     * @param actions where to add what to do
     */
    void keepOnly(
            PendingRequest pending,
            Attempt answering,
            long nowMillis,
            List<RoutingAction> actions) {
        for (Attempt other : List.copyOf(pending.attempts())) {
            abort(pending, other, false, nowMillis, actions);
        }
        pending.attempts().clear();
        pending.attempts()
                .add(
                        new Attempt(
                                answering.id(),
                                answering.endpoint(),
                                answering.sentMillis(),
                                pending.request().deadlineMillis()));
        pending.abandoned = true;
        pending.hedgeMillis = PendingRequest.NEVER;
        timers.update(pending);
    }

    /**
     * Forgets a request and aborts what is left of it.
     *
     * @param pending the request
     * @param nowMillis the time, in milliseconds
     * @param actions where to add what to do
     */
    void finish(PendingRequest pending, long nowMillis, List<RoutingAction> actions) {
        unfinished.remove(pending.request().number());
        timers.remove(pending);
        if (pending.queued) {
            queue.remove(pending);
        }
        if (pending.reserved != null) {
            pending.reserved.released();
            pending.reserved = null;
        }
        for (Attempt attempt : List.copyOf(pending.attempts())) {
            abort(pending, attempt, false, nowMillis, actions);
        }
        pending.attempts().clear();
    }

    /**
     * Gives free slots to the requests that wait.
     *
     * @param nowMillis the time, in milliseconds
     * @param actions where to add what to do
     */
    void serveQueue(long nowMillis, List<RoutingAction> actions) {
        if (queue.size() > 0) {
            queue.serve(pending -> place(pending, nowMillis, actions));
        }
    }

    /**
     * Refuses the waiting requests for which no endpoint is left.
     *
     * @param nowMillis the time, in milliseconds
     * @param actions where to add what to do
     */
    void refuseUnservable(long nowMillis, List<RoutingAction> actions) {
        for (PendingRequest pending : queue.waiting()) {
            if (!endpoints.anyUsable(pending.request().kind(), nowMillis)) {
                Outcome outcome = pending.outcome();
                finish(pending, nowMillis, actions);
                actions.add(Refusals.noEndpoint(pending.request().number(), outcome));
            }
        }
    }

    /**
     * Returns when something is due next.
     *
     * @param nowMillis the time, in milliseconds
     * @return the time, in milliseconds, or {@link Long#MAX_VALUE}
     */
    long nextTimerMillis(long nowMillis) {
        long next = timers.nextMillis();
        if (queue.size() == 0) {
            return next;
        }
        for (EndpointState state : endpoints.all()) {
            next = Math.min(next, state.nextFreeMillis(nowMillis));
        }
        return next;
    }

    /**
     * Decides whether a request without a free slot is refused: when no endpoint may receive it, or
     * when it would wait too long.
     *
     * @param pending the request
     * @param nowMillis the time, in milliseconds
     * @return the refusal, or null
     */
    @Nullable RoutingAction refusal(PendingRequest pending, long nowMillis) {
        RoutingRequest request = pending.request();
        if (!endpoints.anyUsable(request.kind(), nowMillis)) {
            return Refusals.noEndpoint(request.number(), pending.outcome());
        }
        int capacity = Math.max(1, endpoints.totalCapacity(request.kind(), nowMillis));
        double latency = Math.max(1, service.millis());
        long wait = (long) (queue.ahead(request.kind()) * latency / capacity);
        long allowed = (request.deadlineMillis() - nowMillis) / QUEUE_PART;
        if (queue.size() >= settings.queueCapacity() || wait > allowed) {
            return Refusals.overloaded(request.number(), pending.outcome(), wait);
        }
        return null;
    }

    /**
     * Gives a request a free slot, if there is one.
     *
     * @param pending the request
     * @param nowMillis the time, in milliseconds
     * @param actions where to add what to do
     * @return whether there was one
     */
    private boolean place(PendingRequest pending, long nowMillis, List<RoutingAction> actions) {
        EndpointState endpoint = endpoints.choose(pending.request().kind(), null, nowMillis);
        if (endpoint == null) {
            return false;
        }
        pending.queueUntilMillis = PendingRequest.NEVER;
        if (pending.claimed) {
            send(pending, endpoint, nowMillis, actions);
            return true;
        }
        endpoint.sent();
        pending.reserved = endpoint;
        timers.update(pending);
        if (pending.request().key() != null) {
            actions.add(
                    new RoutingAction.Claim(pending.request().number(), pending.request().key()));
        }
        return true;
    }

    /**
     * Returns how long to wait for an answer before a hedge.
     *
     * @param nowMillis the time, in milliseconds
     * @return the delay, in milliseconds
     */
    private long hedgeDelay(long nowMillis) {
        double median = endpoints.medianLatency(nowMillis);
        double usual = median >= 0 ? median : service.millis();
        return Math.max(settings.hedgeFloorMillis(), (long) (HEDGE_FACTOR * usual));
    }
}
