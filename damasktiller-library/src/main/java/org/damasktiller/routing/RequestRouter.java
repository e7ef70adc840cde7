package org.damasktiller.routing;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.random.RandomGenerator;
import org.damasktiller.identity.EndpointId;
import org.damasktiller.identity.RegionName;
import org.damasktiller.identity.ZoneName;

/**
 * Decides where each request is sent, when it waits, is tried again or is refused. It does no I/O:
 * events come in with the time, and the returned actions are to be carried out in their order. Used
 * by one thread.
 */
public final class RequestRouter {

    /** The endpoints. */
    private final EndpointSet endpoints;

    /** Gives requests their slots. */
    private final RequestDispatcher dispatcher;

    /** Decides on second tries. */
    private final RetryPolicy retryPolicy;

    /** Decides how requests go on after their attempts. */
    private final RequestProgress progress;

    /** Whether new requests are refused because the VM is leaving. */
    private boolean draining;

    /**
     * Creates a router.
     *
     * @param builder the parts
     */
    private RequestRouter(Builder builder) {
        this.endpoints =
                new EndpointSet(
                        builder.zone,
                        builder.region,
                        builder.settings,
                        builder.allowance,
                        builder.random);
        this.dispatcher = new RequestDispatcher(builder.settings, endpoints);
        this.retryPolicy = new RetryPolicy(builder.settings, builder.random);
        this.progress = new RequestProgress(endpoints, dispatcher, retryPolicy);
    }

    /**
     * Starts to build a router.
     *
     * @param zone the availability zone of this entry VM
     * @param region its region
     * @param random the source of random choices
     * @return a builder with the default settings and the whole of each endpoint
     */
    public static Builder builder(ZoneName zone, RegionName region, RandomGenerator random) {
        return new Builder(zone, region, random);
    }

    /**
     * Replaces the list of endpoints.
     *
     * @param descriptions the endpoints
     * @param nowMillis the time, in milliseconds
     * @return what to do
     */
    public List<RoutingAction> replaceEndpoints(
            Collection<EndpointDescription> descriptions, long nowMillis) {
        endpoints.replace(descriptions, nowMillis);
        List<RoutingAction> actions = new ArrayList<>();
        dispatcher.serveQueue(nowMillis, actions);
        dispatcher.refuseUnservable(nowMillis, actions);
        return actions;
    }

    /**
     * Notes that an endpoint is leaving, as another entry VM or an operator says.
     *
     * @param endpoint the endpoint
     * @param nowMillis the time, in milliseconds
     * @return what to do
     */
    public List<RoutingAction> endpointLeaving(EndpointId endpoint, long nowMillis) {
        List<RoutingAction> actions = new ArrayList<>();
        EndpointState state = endpoints.find(endpoint);
        if (state != null && state.noteLeaving()) {
            dispatcher.refuseUnservable(nowMillis, actions);
        }
        return actions;
    }

    /**
     * Takes a request: it is sent, queued or refused at once.
     *
     * @param request the request, with a number not used before
     * @param nowMillis the time, in milliseconds
     * @return what to do
     */
    public List<RoutingAction> submit(RoutingRequest request, long nowMillis) {
        List<RoutingAction> actions = new ArrayList<>();
        PendingRequest pending = new PendingRequest(request);
        RoutingAction refusal =
                draining ? Refusals.draining(request.number()) : Refusals.unfit(pending, nowMillis);
        if (refusal != null) {
            actions.add(refusal);
            return actions;
        }
        retryPolicy.firstTry();
        dispatcher.begin(pending, nowMillis, actions);
        return actions;
    }

    /**
     * Notes how a claim ended.
     *
     * @param number the request
     * @param claim how the claim ended
     * @param nowMillis the time, in milliseconds
     * @return what to do
     */
    public List<RoutingAction> claimed(long number, ClaimOutcome claim, long nowMillis) {
        List<RoutingAction> actions = new ArrayList<>();
        PendingRequest pending = dispatcher.find(number);
        if (pending == null || pending.reserved == null) {
            return actions;
        }
        if (claim == ClaimOutcome.GRANTED) {
            EndpointState endpoint = pending.reserved;
            pending.reserved = null;
            pending.claimed = true;
            endpoint.released();
            if (endpoint.usable(nowMillis)) {
                dispatcher.send(pending, endpoint, nowMillis, actions);
            } else {
                dispatcher.dispatch(pending, nowMillis, actions);
            }
            return actions;
        }
        dispatcher.finish(pending, nowMillis, actions);
        actions.add(Refusals.claimFailed(number, claim));
        dispatcher.serveQueue(nowMillis, actions);
        return actions;
    }

    /**
     * Notes how an attempt ended. Unless a {@link RoutingAction.Deliver} for it is returned, its
     * answer must be thrown away.
     *
     * @param number the request
     * @param attemptId the attempt
     * @param outcome how it ended
     * @param nowMillis the time, in milliseconds
     * @return what to do
     */
    public List<RoutingAction> completed(
            long number, long attemptId, AttemptOutcome outcome, long nowMillis) {
        List<RoutingAction> actions = new ArrayList<>();
        PendingRequest pending = dispatcher.find(number);
        Attempt attempt = pending == null ? null : pending.take(attemptId);
        if (pending == null || attempt == null) {
            return actions;
        }
        progress.noteEndpoint(attempt, outcome, nowMillis, actions);
        progress.noteRequest(pending, attempt, outcome, nowMillis, actions);
        dispatcher.serveQueue(nowMillis, actions);
        return actions;
    }

    /**
     * Notes that an answer with a large body has begun to arrive. It goes to the caller as it
     * comes, and {@link #completed} tells its end.
     *
     * @param number the request
     * @param attemptId the attempt
     * @param nowMillis the time, in milliseconds
     * @return what to do, nothing if the answer counts no more
     */
    public List<RoutingAction> answering(long number, long attemptId, long nowMillis) {
        List<RoutingAction> actions = new ArrayList<>();
        PendingRequest pending = dispatcher.find(number);
        Attempt attempt = pending == null ? null : pending.take(attemptId);
        if (pending == null || attempt == null) {
            return actions;
        }
        if (!pending.abandoned) {
            actions.add(new RoutingAction.Deliver(number, attemptId));
        }
        dispatcher.keepOnly(pending, attempt, nowMillis, actions);
        return actions;
    }

    /**
     * Tells whether a request is not finished.
     *
     * @param number the request
     * @return whether it is not
     */
    public boolean unfinished(long number) {
        return dispatcher.find(number) != null;
    }

    /**
     * Notes that the caller is gone: a request not yet sent never will be.
     *
     * @param number the request
     * @param nowMillis the time, in milliseconds
     * @return what to do
     */
    public List<RoutingAction> cancelled(long number, long nowMillis) {
        List<RoutingAction> actions = new ArrayList<>();
        PendingRequest pending = dispatcher.find(number);
        if (pending == null) {
            return actions;
        }
        pending.abandoned = true;
        pending.hedgeMillis = PendingRequest.NEVER;
        if (pending.attempts().isEmpty()) {
            dispatcher.finish(pending, nowMillis, actions);
            dispatcher.serveQueue(nowMillis, actions);
        }
        return actions;
    }

    /**
     * Handles what is due.
     *
     * @param nowMillis the time, in milliseconds
     * @return what to do
     */
    public List<RoutingAction> advance(long nowMillis) {
        List<RoutingAction> actions = new ArrayList<>();
        PendingRequest due = dispatcher.timers().takeDue(nowMillis);
        while (due != null) {
            progress.handleDue(due, nowMillis, actions);
            due = dispatcher.timers().takeDue(nowMillis);
        }
        dispatcher.serveQueue(nowMillis, actions);
        return actions;
    }

    /**
     * Returns when {@link #advance} has to be called next.
     *
     * @param nowMillis the time, in milliseconds
     * @return the time, in milliseconds, or {@link Long#MAX_VALUE}
     */
    public long nextTimerMillis(long nowMillis) {
        return dispatcher.nextTimerMillis(nowMillis);
    }

    /** Refuses all new requests from now on; those accepted are finished. */
    public void drain() {
        draining = true;
    }

    /**
     * Tells whether new requests are refused because the VM is leaving.
     *
     * @return whether the router drains
     */
    public boolean draining() {
        return draining;
    }

    /**
     * Returns how many slots of an endpoint are in use, to be reported with its share.
     *
     * @param endpoint the endpoint
     * @param nowMillis the time, in milliseconds
     * @return the number of slots
     */
    public int usedSlots(EndpointId endpoint, long nowMillis) {
        EndpointState state = endpoints.find(endpoint);
        return state == null ? 0 : state.used(nowMillis);
    }

    /**
     * Returns the number of requests that are not finished.
     *
     * @return the number
     */
    public int unfinishedRequests() {
        return dispatcher.unfinishedRequests();
    }

    /**
     * Returns the number of requests that wait for a slot.
     *
     * @return the number
     */
    public int queuedRequests() {
        return dispatcher.queuedRequests();
    }

    /** Builds a router; every setter returns the builder. */
    public static final class Builder {

        /** The availability zone. */
        private final ZoneName zone;

        /** The region. */
        private final RegionName region;

        /** The source of random choices. */
        private final RandomGenerator random;

        /** The settings. */
        private RoutingSettings settings = RoutingSettings.DEFAULT;

        /** Our part of each endpoint. */
        private EndpointAllowance allowance = new EqualAllowance(1, 0);

        /**
         * Creates a builder.
         *
         * @param zone the availability zone
         * @param region the region
         * @param random the source of random choices
         */
        private Builder(ZoneName zone, RegionName region, RandomGenerator random) {
            this.zone = zone;
            this.region = region;
            this.random = random;
        }

        /**
         * Sets the settings.
         *
         * @param value the settings
         * @return this builder
         */
        public Builder settings(RoutingSettings value) {
            settings = value;
            return this;
        }

        /**
         * Sets our part of each endpoint.
         *
         * @param value the allowance
         * @return this builder
         */
        public Builder allowance(EndpointAllowance value) {
            allowance = value;
            return this;
        }

        /**
         * Builds the router.
         *
         * @return the router
         */
        public RequestRouter build() {
            return new RequestRouter(this);
        }
    }
}
