package org.damasktiller.daemon.gateway;

import io.activej.eventloop.Eventloop;
import io.activej.http.HttpMethod;
import io.activej.http.HttpServer;
import io.activej.http.RoutingServlet;
import io.activej.promise.Promise;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicInteger;
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
import org.damasktiller.routing.RoutingSettings;
import org.damasktiller.standin.endpoint.EndpointBehaviour;
import org.damasktiller.standin.endpoint.EndpointCounters;
import org.damasktiller.standin.endpoint.EndpointServlet;
import org.damasktiller.standin.platform.StandInServer;
import org.damasktiller.table.KindOfWork;
import org.damasktiller.table.Repeat;
import org.damasktiller.table.WorkClass;
import org.jspecify.annotations.Nullable;

/** Runs a gateway with stand-in endpoints on loopback. */
final class GatewayFixture implements AutoCloseable {

    static final ZoneName ZONE = new ZoneName("leinster-1");
    static final RegionName REGION = new RegionName("leinster");

    final EndpointCounters counters = new EndpointCounters();
    final List<EndpointServlet> endpoints = new ArrayList<>();
    final List<StandInServer> endpointServers = new ArrayList<>();
    final List<EndpointId> leaving = new CopyOnWriteArrayList<>();
    final Set<ClaimRequestKey> claims = new HashSet<>();
    final HttpClient caller = HttpClient.newHttpClient();
    final Eventloop eventloop = Eventloop.create();
    final InteractiveGateway gateway;
    final HttpServer server;
    final Thread thread;
    final AtomicInteger unfinished = new AtomicInteger();

    GatewayFixture(int endpointCount, EndpointBehaviour behaviour) {
        this(endpointCount, behaviour, RoutingSettings.DEFAULT, GatewayLimits.DEFAULT);
    }

    GatewayFixture(
            int endpointCount,
            EndpointBehaviour behaviour,
            RoutingSettings settings,
            GatewayLimits limits) {
        List<EndpointDescription> descriptions = new ArrayList<>();
        for (int index = 0; index < endpointCount; index++) {
            StandInServer started =
                    StandInServer.start("endpoint", loopback(), loop -> endpoint(loop, behaviour));
            endpointServers.add(started);
            descriptions.add(
                    new EndpointDescription(
                            new EndpointId("endpoint-" + index),
                            started.address(),
                            ZONE,
                            REGION,
                            8,
                            64,
                            false));
        }
        eventloop.keepAlive(true);
        gateway = build(eventloop, descriptions, settings, limits);
        server =
                HttpListener.builder(
                                eventloop,
                                RoutingServlet.builder(eventloop)
                                        .with(HttpMethod.POST, InteractiveGateway.PATH, gateway)
                                        .build(),
                                loopback(),
                                new ListenerLimits(1 << 26, 60_000, 60_000, 1000))
                        .build();
        thread = new Thread(eventloop, "gateway");
        thread.setDaemon(true);
        thread.start();
        eventloop.submit(() -> listen()).join();
    }

    private void listen() {
        try {
            server.listen();
            gateway.start();
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    String address() {
        InetSocketAddress bound = server.getBoundAddresses().get(0);
        return bound.getAddress().getHostAddress() + ":" + bound.getPort();
    }

    int unfinishedCalls() {
        return eventloop
                .submit(() -> unfinished.set(gateway.unfinishedCalls()))
                .thenApply(v -> unfinished.get())
                .join();
    }

    Socket rawCall(String request) throws IOException {
        Socket socket =
                new Socket(loopback().getAddress(), server.getBoundAddresses().get(0).getPort());
        socket.setSoTimeout(20_000);
        socket.getOutputStream().write(request.getBytes(StandardCharsets.ISO_8859_1));
        return socket;
    }

    HttpResponse<String> call(String kind, @Nullable String key, String body) {
        return callLater(kind, key, body, 5000).join();
    }

    CompletableFuture<HttpResponse<String>> callLater(
            String kind, @Nullable String key, String body, long deadlineMillis) {
        HttpRequest.Builder request =
                HttpRequest.newBuilder(URI.create("http://" + address() + "/v1/call/" + kind))
                        .header("Damasktiller-Tenant", "corrib")
                        .header("Damasktiller-Deadline-Millis", Long.toString(deadlineMillis))
                        .POST(HttpRequest.BodyPublishers.ofString(body));
        if (key != null) {
            request.header("Damasktiller-Key", key);
        }
        return caller.sendAsync(request.build(), HttpResponse.BodyHandlers.ofString());
    }

    @Override
    public void close() {
        eventloop.submit(gateway::stop).join();
        eventloop.submit(server::close).join();
        eventloop.execute(() -> eventloop.keepAlive(false));
        eventloop.execute(eventloop::breakEventloop);
        for (int index = 0; index < endpointServers.size(); index++) {
            endpointServers.get(index).run(endpoints.get(index)::releaseSilent);
            endpointServers.get(index).close();
        }
    }

    static InetSocketAddress loopback() {
        return new InetSocketAddress(InetAddress.getLoopbackAddress(), 0);
    }

    private io.activej.http.AsyncServlet endpoint(Eventloop loop, EndpointBehaviour behaviour) {
        EndpointServlet servlet = new EndpointServlet(loop, behaviour, counters);
        endpoints.add(servlet);
        return servlet.withHealthCheck();
    }

    private InteractiveGateway build(
            Eventloop loop,
            List<EndpointDescription> descriptions,
            RoutingSettings settings,
            GatewayLimits limits) {
        RequestRouter router =
                RequestRouter.builder(ZONE, REGION, new SplittableRandom(7))
                        .settings(settings)
                        .build();
        return InteractiveGateway.builder(loop, router)
                .limits(limits)
                .kinds(GatewayFixture::kind)
                .endpoints(() -> descriptions)
                .leavingListener(leaving::add)
                .claimGate(
                        claim ->
                                Promise.of(
                                        claims.add(new ClaimRequestKey(claim.key().value()))
                                                ? ClaimOutcome.GRANTED
                                                : ClaimOutcome.ALREADY_CLAIMED))
                .build();
    }

    private static @Nullable KindOfWork kind(KindName name) {
        Repeat repeat = name.value().equals("billing") ? Repeat.AT_MOST_ONCE : Repeat.IDEMPOTENT;
        return name.value().equals("unknown")
                ? null
                : KindOfWork.builder(name, new TenantName("corrib"))
                        .workClass(WorkClass.INTERACTIVE)
                        .repeat(repeat)
                        .build();
    }

    record ClaimRequestKey(String value) {}

    static void await(java.util.function.BooleanSupplier condition) throws IOException {
        long end = System.nanoTime() + 20_000_000_000L;
        while (!condition.getAsBoolean()) {
            if (System.nanoTime() > end) {
                throw new IOException("condition not met in time");
            }
            Thread.onSpinWait();
        }
    }
}
