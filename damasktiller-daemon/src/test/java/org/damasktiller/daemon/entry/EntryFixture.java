package org.damasktiller.daemon.entry;

import io.activej.common.time.CurrentTimeProvider;
import io.activej.eventloop.Eventloop;
import io.activej.http.AsyncServlet;
import io.activej.http.HttpClient;
import io.activej.http.HttpRequest;
import io.activej.http.HttpResponse;
import io.activej.promise.Promise;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.function.Function;
import org.damasktiller.daemon.settings.EntrySettings;
import org.damasktiller.daemon.settings.Settings;
import org.damasktiller.identity.RackName;
import org.damasktiller.identity.WorkerId;
import org.damasktiller.identity.ZoneName;
import org.damasktiller.platform.http.AddressResolver;
import org.damasktiller.platform.http.EventLoops;
import org.damasktiller.resource.Resources;
import org.damasktiller.standin.endpoint.EndpointBehaviour;
import org.damasktiller.standin.endpoint.EndpointCounters;
import org.damasktiller.standin.endpoint.EndpointServlet;
import org.damasktiller.standin.platform.StandInServer;
import org.damasktiller.standin.platform.StoreServlet;
import org.damasktiller.standin.platform.VmListServlet;
import org.damasktiller.standin.platform.VmListState;
import org.damasktiller.standin.platform.WorkerServlet;
import org.damasktiller.standin.store.StoreFaults;
import org.damasktiller.standin.store.StoreService;
import org.damasktiller.standin.store.StoreState;
import org.damasktiller.standin.worker.WorkerObserver;
import org.damasktiller.standin.worker.WorkerState;
import org.damasktiller.vm.VmRecord;
import org.damasktiller.vm.VmRole;
import org.damasktiller.vm.VmState;

/** Runs one entry VM with its stand-ins on loopback, and a client. */
final class EntryFixture implements AutoCloseable {

    static final String ZONE = "leinster-1";
    static final WorkerId WORKER = new WorkerId("worker-1");

    private final List<StandInServer> servers = new ArrayList<>();
    private final VmListState vmList = new VmListState(0);
    private final EndpointCounters endpointCounters = new EndpointCounters();
    private final Eventloop eventloop = EventLoops.start("client");
    private final HttpClient client;
    private final StandInServer storeServer;
    private final StandInServer listServer;
    private final EntryNode node;
    private StoreService store;

    EntryFixture() {
        storeServer =
                start(
                        loop -> {
                            store = new StoreService(loop, new StoreState());
                            return StoreServlet.create(loop, store);
                        });
        listServer = start(loop -> VmListServlet.create(loop, vmList));
        WorkerState worker =
                new WorkerState(WORKER, new Resources(8_000, 8_000, 0), new WorkerObserver());
        StandInServer workers = start(loop -> WorkerServlet.create(loop, Map.of(WORKER, worker)));
        StandInServer endpoint =
                start(
                        loop ->
                                new EndpointServlet(
                                                loop,
                                                EndpointBehaviour.healthy(0),
                                                endpointCounters)
                                        .withHealthCheck());
        list(WORKER.value(), workers.address(), VmRole.WORKER);
        list("endpoint-1", endpoint.address(), VmRole.ENDPOINT);
        client = HttpClient.create(eventloop, new AddressResolver());
        node = startNode();
    }

    EntryNode node() {
        return node;
    }

    EndpointCounters endpointCounters() {
        return endpointCounters;
    }

    void setStoreFaults(StoreFaults faults) {
        storeServer.run(() -> store.setFaults(faults));
    }

    Answer send(HttpRequest.Builder request) {
        return eventloop
                .submit(() -> client.request(request.build()).then(EntryFixture::read))
                .join();
    }

    String callerUrl(String path) {
        return "http://" + node.callerAddress() + path;
    }

    String operatorUrl(String path) {
        return "http://" + node.operatorAddress() + path;
    }

    @Override
    public void close() {
        eventloop.submit(client::stop).join();
        eventloop.execute(eventloop::breakEventloop);
        node.drain().join();
        servers.forEach(StandInServer::close);
    }

    private static Promise<Answer> read(HttpResponse response) {
        return response.loadBody()
                .map(
                        body ->
                                new Answer(
                                        response.getCode(),
                                        new String(body.getArray(), StandardCharsets.UTF_8)));
    }

    private EntryNode startNode() {
        String[] flags = {
            "--address", "127.0.0.1:0",
            "--operator-address", "127.0.0.1:0",
            "--peer-address", "127.0.0.1:0",
            "--zone", ZONE,
            "--zones", ZONE + "=leinster",
            "--store", storeServer.address(),
            "--vm-list", listServer.address(),
            "--vm-list-interval-millis", "20",
            "--maximum-body-bytes", "10000",
            "--drain-notice-millis", "0"
        };
        EntrySettings settings = new EntrySettings();
        Settings.read(settings, flags, Map.of());
        settings.check();
        return EntryNode.start(settings);
    }

    private void list(String name, String address, VmRole role) {
        VmRecord vm =
                new VmRecord(
                        name,
                        address,
                        new ZoneName(ZONE),
                        new RackName("rack-1"),
                        role,
                        VmState.LIVE);
        long nowMillis = CurrentTimeProvider.ofSystem().currentTimeMillis();
        listServer.run(() -> vmList.put(vm, nowMillis));
    }

    private StandInServer start(Function<Eventloop, AsyncServlet> servlet) {
        StandInServer server =
                StandInServer.start(
                        "stand-in",
                        new InetSocketAddress(InetAddress.getLoopbackAddress(), 0),
                        servlet);
        servers.add(server);
        return server;
    }

    record Answer(int status, String body) {}
}
