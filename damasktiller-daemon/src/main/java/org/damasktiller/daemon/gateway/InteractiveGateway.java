package org.damasktiller.daemon.gateway;

import com.codahale.metrics.MetricRegistry;
import io.activej.common.time.CurrentTimeProvider;
import io.activej.http.AsyncServlet;
import io.activej.http.HttpHeaders;
import io.activej.http.HttpRequest;
import io.activej.http.HttpResponse;
import io.activej.promise.Promise;
import io.activej.reactor.nio.NioReactor;
import io.activej.reactor.schedule.ScheduledRunnable;
import java.util.List;
import java.util.function.Consumer;
import java.util.function.Function;
import java.util.function.Supplier;
import java.util.stream.Collectors;
import org.damasktiller.daemon.http.CallerConnection;
import org.damasktiller.error.DamasktillerException;
import org.damasktiller.identity.EndpointId;
import org.damasktiller.identity.KindName;
import org.damasktiller.routing.ClaimOutcome;
import org.damasktiller.routing.EndpointAllowance;
import org.damasktiller.routing.EndpointDescription;
import org.damasktiller.routing.EqualAllowance;
import org.damasktiller.routing.RequestRouter;
import org.damasktiller.routing.RoutingRequest;
import org.damasktiller.standin.http.JsonResponses;
import org.damasktiller.table.KindOfWork;
import org.jspecify.annotations.Nullable;

/**
 * Serves interactive calls: it hands the events to a {@link RequestRouter} and carries out its
 * actions over HTTP. Used on its reactor's thread only.
 */
public final class InteractiveGateway implements AsyncServlet {

    /** The path of a call, with the kind as its last part. */
    public static final String PATH = "/v1/call/:" + CallParser.KIND_PARAMETER;

    /** How often endpoints are read and idle connections are looked at, in milliseconds. */
    private static final long REFRESH_MILLIS = 500;

    /** The reactor. */
    private final NioReactor reactor;

    /** The clock. */
    private final CurrentTimeProvider clock;

    /** Decides. */
    private final RequestRouter router;

    /** The connections to endpoints. */
    private final EndpointConnections connections;

    /** Reads the heads of calls. */
    private final CallParser parser;

    /** The limits. */
    private final GatewayLimits limits;

    /** Gives the endpoints. */
    private final Supplier<List<EndpointDescription>> endpoints;

    /** Carries out what the router decides. */
    private final CallDispatcher dispatcher;

    /** The number of the latest call. */
    private long lastCall;

    /** The timer of the refresh, or null while stopped. */
    private @Nullable ScheduledRunnable refreshTimer;

    /**
     * Creates a gateway.
     *
     * @param builder the parts
     */
    private InteractiveGateway(Builder builder) {
        this.reactor = builder.reactor;
        this.clock = builder.clock;
        this.router = builder.router;
        this.limits = builder.limits;
        this.connections = new EndpointConnections(reactor, limits, builder.allowance);
        this.parser = new CallParser(builder.kinds, limits.defaultDeadlineMillis());
        this.endpoints = builder.endpoints;
        this.dispatcher = new CallDispatcher(builder, connections);
    }

    /**
     * Starts to build a gateway.
     *
     * @param reactor the reactor on which it runs
     * @param router decides; it must be used by this gateway only
     * @return a builder
     */
    public static Builder builder(NioReactor reactor, RequestRouter router) {
        return new Builder(reactor, router);
    }

    /** Reads the endpoints and goes on doing so. To be called on the reactor's thread. */
    public void start() {
        refresh();
    }

    /** Stops the timers and closes the idle connections. */
    public void stop() {
        if (refreshTimer != null) {
            refreshTimer.cancel();
        }
        connections.close();
    }

    /** Refuses new calls from now on; those accepted are finished. */
    public void drain() {
        router.drain();
    }

    /**
     * Returns the number of calls that are not finished.
     *
     * @return the number
     */
    public int unfinishedCalls() {
        return router.unfinishedRequests();
    }

    /**
     * Notes that an endpoint is leaving, as another entry VM or an operator says.
     *
     * @param endpoint the endpoint
     */
    public void endpointLeaving(EndpointId endpoint) {
        dispatcher.run(router.endpointLeaving(endpoint, clock.currentTimeMillis()));
    }

    @Override
    public Promise<HttpResponse> serve(HttpRequest request) {
        try {
            parser.checkFraming(request, limits.requestBytes());
        } catch (DamasktillerException refused) {
            return Promise.of(JsonResponses.error(refused));
        }
        return BodyReader.read(request, limits.bufferedBytes())
                .then(
                        body -> acceptOrRefuse(request, body),
                        exception -> Promise.of(JsonResponses.error(exception)));
    }

    /**
     * Takes up a call, or refuses it if its head is wrong.
     *
     * @param request the request of the caller
     * @param body its body
     * @return the response
     */
    private Promise<HttpResponse> acceptOrRefuse(HttpRequest request, Body body) {
        try {
            return accept(request, body);
        } catch (DamasktillerException refused) {
            return Promise.of(JsonResponses.error(refused, 0));
        }
    }

    /**
     * Takes up a call.
     *
     * @param request the request of the caller
     * @param body its body
     * @return the response
     */
    private Promise<HttpResponse> accept(HttpRequest request, Body body) {
        long now = clock.currentTimeMillis();
        lastCall++;
        RoutingRequest routing = parser.parse(request, lastCall, body.whole(), now);
        String contentType = request.getHeader(HttpHeaders.CONTENT_TYPE);
        Call call = new Call(routing, contentType, body, now);
        dispatcher.begin(call, now);
        if (!call.response().isComplete()
                && request.getConnection() != null
                && request.getConnection().getUserData() instanceof CallerConnection caller) {
            caller.onGone(() -> dispatcher.cancel(routing.number()));
            return call.response().whenComplete(() -> caller.onGone(null));
        }
        return call.response();
    }

    /** Reads the endpoints, looks after idle connections, and does so again after a while. */
    private void refresh() {
        List<EndpointDescription> listed = endpoints.get();
        dispatcher.run(router.replaceEndpoints(listed, clock.currentTimeMillis()));
        connections.retain(
                listed.stream()
                        .filter(endpoint -> !endpoint.leaving())
                        .map(EndpointDescription::address)
                        .collect(Collectors.toSet()));
        connections.probeIdle();
        refreshTimer = reactor.delayBackground(REFRESH_MILLIS, this::refresh);
    }

    /** Builds a gateway; every setter returns the builder. */
    public static final class Builder {

        /** The reactor. */
        final NioReactor reactor;

        /** The router. */
        final RequestRouter router;

        /** The clock. */
        CurrentTimeProvider clock;

        /** The limits. */
        GatewayLimits limits = GatewayLimits.DEFAULT;

        /** The allowance for connections. */
        EndpointAllowance allowance = new EqualAllowance(1, 0);

        /** The rows of the table. */
        Function<KindName, @Nullable KindOfWork> kinds = name -> null;

        /** The endpoints. */
        Supplier<List<EndpointDescription>> endpoints = List::of;

        /** The claim gate, which grants nothing by default. */
        ClaimGate claimGate = request -> Promise.of(ClaimOutcome.UNAVAILABLE);

        /** The listener for leaving endpoints. */
        Consumer<EndpointId> leavingListener = endpoint -> {};

        /** The registry of metrics. */
        MetricRegistry registry = new MetricRegistry();

        /**
         * Creates a builder.
         *
         * @param reactor the reactor
         * @param router the router
         */
        private Builder(NioReactor reactor, RequestRouter router) {
            this.reactor = reactor;
            this.router = router;
            this.clock = reactor;
        }

        /**
         * Sets the clock, by default that of the reactor.
         *
         * @param value the clock
         * @return this builder
         */
        public Builder clock(CurrentTimeProvider value) {
            clock = value;
            return this;
        }

        /**
         * Sets the limits.
         *
         * @param value the limits
         * @return this builder
         */
        public Builder limits(GatewayLimits value) {
            limits = value;
            return this;
        }

        /**
         * Sets our part of each endpoint's connections.
         *
         * @param value the allowance
         * @return this builder
         */
        public Builder allowance(EndpointAllowance value) {
            allowance = value;
            return this;
        }

        /**
         * Sets the source of the table's rows.
         *
         * @param value gives the row of a kind, or null
         * @return this builder
         */
        public Builder kinds(Function<KindName, @Nullable KindOfWork> value) {
            kinds = value;
            return this;
        }

        /**
         * Sets the source of the endpoints, read again and again.
         *
         * @param value gives the endpoints
         * @return this builder
         */
        public Builder endpoints(Supplier<List<EndpointDescription>> value) {
            endpoints = value;
            return this;
        }

        /**
         * Sets the gate for at-most-once requests.
         *
         * @param value the gate
         * @return this builder
         */
        public Builder claimGate(ClaimGate value) {
            claimGate = value;
            return this;
        }

        /**
         * Sets who is told of endpoints seen to be leaving.
         *
         * @param value the listener
         * @return this builder
         */
        public Builder leavingListener(Consumer<EndpointId> value) {
            leavingListener = value;
            return this;
        }

        /**
         * Sets the registry of metrics.
         *
         * @param value the registry
         * @return this builder
         */
        public Builder registry(MetricRegistry value) {
            registry = value;
            return this;
        }

        /**
         * Builds the gateway.
         *
         * @return the gateway
         */
        public InteractiveGateway build() {
            return new InteractiveGateway(this);
        }
    }
}
