package org.damasktiller.benchmark.interactive;

import io.activej.eventloop.Eventloop;
import io.activej.http.AsyncServlet;
import io.activej.http.HttpMethod;
import io.activej.http.HttpServer;
import io.activej.http.RoutingServlet;
import io.activej.promise.Promise;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.lang.management.ManagementFactory;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.SplittableRandom;
import org.damasktiller.daemon.gateway.InteractiveGateway;
import org.damasktiller.daemon.http.HttpListener;
import org.damasktiller.daemon.http.ListenerLimits;
import org.damasktiller.identity.EndpointId;
import org.damasktiller.identity.KindName;
import org.damasktiller.identity.RegionName;
import org.damasktiller.identity.TenantName;
import org.damasktiller.identity.ZoneName;
import org.damasktiller.routing.ClaimOutcome;
import org.damasktiller.routing.EndpointDescription;
import org.damasktiller.routing.RequestRouter;
import org.damasktiller.standin.endpoint.EndpointBehaviour;
import org.damasktiller.standin.endpoint.EndpointCounters;
import org.damasktiller.standin.endpoint.EndpointServlet;
import org.damasktiller.standin.platform.StandInServer;
import org.damasktiller.table.KindOfWork;
import org.damasktiller.table.Repeat;
import org.damasktiller.table.Spill;
import org.damasktiller.table.WorkClass;

/** Runs a gateway with stand-in endpoints, each on an event loop and thread of its own. */
final class Rig implements AutoCloseable {

    /** The kind that may be repeated. */
    static final String IDEMPOTENT_KIND = "route";

    /** The kind that must not be sent twice. */
    static final String AT_MOST_ONCE_KIND = "billing";

    /** The slots of an endpoint. */
    private static final int SLOTS = 8;

    /** The connections of an endpoint. */
    private static final int CONNECTIONS = 64;

    /** The seed of the router. */
    private static final long SEED = 7;

    /** The region of the gateway. */
    private static final RegionName REGION = new RegionName("leinster");

    /** The availability zone of the gateway. */
    private static final ZoneName ZONE = new ZoneName("leinster-1");

    /** The counters of the endpoints near the gateway. */
    private final EndpointCounters counters = new EndpointCounters();

    /** The counters of the endpoints in the other region. */
    private final EndpointCounters farCounters = new EndpointCounters();

    /** The endpoints' servlets, the near ones first. */
    private final List<EndpointServlet> servlets = new ArrayList<>();

    /** The endpoints' servers, the near ones first. */
    private final List<StandInServer> servers = new ArrayList<>();

    /** The endpoints. */
    private final List<EndpointDescription> endpoints = new ArrayList<>();

    /** The keys claimed. */
    private final Set<String> claims = new HashSet<>();

    /** The event loop of the gateway. */
    private final Eventloop eventloop = Eventloop.create();

    /** The gateway. */
    private final InteractiveGateway gateway;

    /** The server of the gateway. */
    private final HttpServer server;

    /** The thread of the gateway. */
    private final Thread thread;

    /**
     * Starts a gateway with its endpoints.
     *
     * @param near the number of endpoints in its zone
     * @param far the number of endpoints in the other region
     * @param behaviour how the endpoints behave
     */
    Rig(int near, int far, EndpointBehaviour behaviour) {
        for (int index = 0; index < near; index++) {
            startEndpoint("near-" + index, ZONE, REGION, behaviour, counters);
        }
        for (int index = 0; index < far; index++) {
            startEndpoint(
                    "far-" + index,
                    new ZoneName("connacht-1"),
                    new RegionName("connacht"),
                    behaviour,
                    farCounters);
        }
        eventloop.keepAlive(true);
        RequestRouter router =
                RequestRouter.builder(ZONE, REGION, new SplittableRandom(SEED)).build();
        gateway =
                InteractiveGateway.builder(eventloop, router)
                        .kinds(Rig::kind)
                        .endpoints(() -> endpoints)
                        .claimGate(
                                claim ->
                                        Promise.of(
                                                claims.add(claim.key().value())
                                                        ? ClaimOutcome.GRANTED
                                                        : ClaimOutcome.ALREADY_CLAIMED))
                        .build();
        AsyncServlet calls =
                RoutingServlet.builder(eventloop)
                        .with(HttpMethod.POST, InteractiveGateway.PATH, gateway)
                        .build();
        server = HttpListener.builder(eventloop, calls, loopback(), ListenerLimits.DEFAULT).build();
        thread = new Thread(eventloop, "gateway");
        thread.setDaemon(true);
        thread.start();
        eventloop.submit(this::listen).join();
    }

    /**
     * Returns the address of calls through the gateway.
     *
     * @param kind the kind of work
     * @return the URL
     */
    String gatewayUrl(String kind) {
        return "http://"
                + InetAddress.getLoopbackAddress().getHostAddress()
                + ":"
                + port()
                + "/v1/call/"
                + kind;
    }

    /**
     * Returns the address of calls straight to an endpoint.
     *
     * @param number any number, which selects the endpoints in turn
     * @return the URL
     */
    String endpointUrl(long number) {
        int index = (int) (number % endpoints.size());
        return "http://" + endpoints.get(index).address() + "/v1/call/" + IDEMPOTENT_KIND;
    }

    /**
     * Returns the port of the gateway.
     *
     * @return the port
     */
    int port() {
        return server.getBoundAddresses().get(0).getPort();
    }

    /**
     * Returns the servlet of an endpoint.
     *
     * @param index the endpoint
     * @return the servlet
     */
    EndpointServlet endpoint(int index) {
        return servlets.get(index);
    }

    /**
     * Silences a part of the open connections of all endpoints for good.
     *
     * @param every one of how many connections is silenced
     */
    void silenceConnections(int every) {
        int[] place = new int[1];
        for (int index = 0; index < servers.size(); index++) {
            EndpointServlet servlet = servlets.get(index);
            servers.get(index).run(() -> place[0] = servlet.silenceConnections(every, place[0]));
        }
    }

    /**
     * Returns the counters of the near endpoints.
     *
     * @return the counters
     */
    EndpointCounters counters() {
        return counters;
    }

    /**
     * Returns the counters of the endpoints in the other region.
     *
     * @return the counters
     */
    EndpointCounters farCounters() {
        return farCounters;
    }

    /**
     * Returns the processor time that the gateway has used.
     *
     * @return the time, in nanoseconds
     */
    long gatewayCpuNanos() {
        return ManagementFactory.getThreadMXBean().getThreadCpuTime(thread.getId());
    }

    /**
     * Returns the number of connections that callers have open.
     *
     * @return the number
     */
    int callerConnections() {
        return server.getConnectionsCount();
    }

    @Override
    public void close() {
        eventloop.submit(gateway::stop).join();
        eventloop.execute(() -> eventloop.keepAlive(false));
        eventloop.execute(eventloop::breakEventloop);
        for (int index = 0; index < servers.size(); index++) {
            servers.get(index).run(servlets.get(index)::releaseSilent);
            servers.get(index).close();
        }
    }

    /**
     * Starts an endpoint.
     *
     * @param name its name
     * @param zone its zone
     * @param region its region
     * @param behaviour how it behaves
     * @param counted its counters
     */
    private void startEndpoint(
            String name,
            ZoneName zone,
            RegionName region,
            EndpointBehaviour behaviour,
            EndpointCounters counted) {
        StandInServer started =
                StandInServer.start(
                        name,
                        loopback(),
                        loop -> {
                            EndpointServlet servlet = new EndpointServlet(loop, behaviour, counted);
                            servlets.add(servlet);
                            return servlet.withHealthCheck();
                        });
        servers.add(started);
        endpoints.add(
                new EndpointDescription(
                        new EndpointId(name),
                        started.address(),
                        zone,
                        region,
                        SLOTS,
                        CONNECTIONS,
                        false));
    }

    /** Begins to listen. */
    private void listen() {
        try {
            server.listen();
            gateway.start();
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    /**
     * Returns a loopback address with any free port.
     *
     * @return the address
     */
    private static InetSocketAddress loopback() {
        return new InetSocketAddress(InetAddress.getLoopbackAddress(), 0);
    }

    /**
     * Makes the row of the table for a kind.
     *
     * @param name the kind
     * @return the row
     */
    private static KindOfWork kind(KindName name) {
        Repeat repeat =
                name.value().equals(AT_MOST_ONCE_KIND) ? Repeat.AT_MOST_ONCE : Repeat.IDEMPOTENT;
        return KindOfWork.builder(name, new TenantName(LoadClient.TENANT))
                .workClass(WorkClass.INTERACTIVE)
                .repeat(repeat)
                .spill(Spill.ANY)
                .build();
    }
}
