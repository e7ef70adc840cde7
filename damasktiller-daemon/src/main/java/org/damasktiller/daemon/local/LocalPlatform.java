package org.damasktiller.daemon.local;

import io.activej.common.time.CurrentTimeProvider;
import io.activej.eventloop.Eventloop;
import io.activej.http.AsyncServlet;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Function;
import java.util.function.Supplier;
import org.damasktiller.identity.RackName;
import org.damasktiller.identity.WorkerId;
import org.damasktiller.identity.ZoneName;
import org.damasktiller.standin.endpoint.EndpointBehaviour;
import org.damasktiller.standin.endpoint.EndpointCounters;
import org.damasktiller.standin.endpoint.EndpointServlet;
import org.damasktiller.standin.platform.StandInServer;
import org.damasktiller.standin.platform.StoreServlet;
import org.damasktiller.standin.platform.VmListServlet;
import org.damasktiller.standin.platform.VmListState;
import org.damasktiller.standin.platform.WorkerServlet;
import org.damasktiller.standin.store.StoreService;
import org.damasktiller.standin.store.StoreState;
import org.damasktiller.standin.worker.WorkerObserver;
import org.damasktiller.standin.worker.WorkerState;
import org.damasktiller.vm.VmRecord;
import org.damasktiller.vm.VmRole;
import org.damasktiller.vm.VmState;

/** Runs the platform's services, the workers and the endpoints as stand-ins on loopback. */
final class LocalPlatform implements AutoCloseable {

    /** How long a change of the list of VMs stays unseen, in milliseconds. */
    private static final long LIST_LAG_MILLIS = 200;

    /** The number of workers in a rack. */
    private static final int WORKERS_PER_RACK = 8;

    /** The number of endpoints of each availability zone. */
    private static final int ENDPOINTS_PER_ZONE = 3;

    /** How long an endpoint takes for a request, in milliseconds. */
    private static final long SERVICE_MILLIS = 4;

    /** The servers in the order in which they were started. */
    private final List<StandInServer> servers = new ArrayList<>();

    /** The list of VMs. */
    private final VmListState vmList = new VmListState(LIST_LAG_MILLIS);

    /** The server of the list of VMs, on whose thread the list is used. */
    private final StandInServer vmListServer;

    /** The server of the key-value service. */
    private final StandInServer storeServer;

    /** The server of the workers, on whose thread the observer is used. */
    private final StandInServer workerServer;

    /** The record of all runs on workers. */
    private final WorkerObserver observer = new WorkerObserver();

    /** The counts of each endpoint. */
    private final List<EndpointCounters> endpointCounters = new ArrayList<>();

    /**
     * Starts the stand-ins of a deployment.
     *
     * @param deployment the deployment
     */
    LocalPlatform(Deployment deployment) {
        vmListServer = start("vms", loop -> VmListServlet.create(loop, vmList));
        storeServer =
                start(
                        "store",
                        loop ->
                                StoreServlet.create(
                                        loop, new StoreService(loop, new StoreState())));
        Map<WorkerId, WorkerState> workers = new LinkedHashMap<>();
        Map<WorkerId, ZoneName> zones = new LinkedHashMap<>();
        List<ZoneName> zoneNames = List.copyOf(deployment.zones().keySet());
        for (int index = 0; index < deployment.workers(); index++) {
            WorkerId worker = new WorkerId("worker-" + index);
            workers.put(worker, new WorkerState(worker, deployment.capacity(), observer));
            zones.put(worker, zoneNames.get(index % zoneNames.size()));
        }
        workerServer = start("workers", loop -> WorkerServlet.create(loop, workers));
        listWorkers(zones);
        zoneNames.forEach(this::startEndpoints);
    }

    /**
     * Returns the address of the key-value service.
     *
     * @return the IP number and port
     */
    String storeAddress() {
        return storeServer.address();
    }

    /**
     * Returns the address of the list of VMs.
     *
     * @return the IP number and port
     */
    String vmListAddress() {
        return vmListServer.address();
    }

    /**
     * Adds or replaces a VM of the list.
     *
     * @param vm the VM
     */
    void list(VmRecord vm) {
        long nowMillis = CurrentTimeProvider.ofSystem().currentTimeMillis();
        vmListServer.run(() -> vmList.put(vm, nowMillis));
    }

    /**
     * Reads the record of runs while no worker changes it.
     *
     * @param reading what to read
     * @param <T> the type of what is read
     * @return what was read
     */
    <T> T observe(Supplier<T> reading) {
        List<T> result = new ArrayList<>();
        workerServer.run(() -> result.add(reading.get()));
        return result.get(0);
    }

    /**
     * Returns the record of runs, to be used within {@link #observe} only.
     *
     * @return the record
     */
    WorkerObserver observer() {
        return observer;
    }

    /**
     * Returns how often endpoints executed the request of a key.
     *
     * @param key the key
     * @return the number of executions
     */
    int executions(String key) {
        return endpointCounters.stream().mapToInt(counters -> counters.executions(key)).sum();
    }

    @Override
    public void close() {
        servers.forEach(StandInServer::close);
    }

    /**
     * Adds the workers to the list.
     *
     * @param zones the zone of each worker
     */
    private void listWorkers(Map<WorkerId, ZoneName> zones) {
        int index = 0;
        for (Map.Entry<WorkerId, ZoneName> entry : zones.entrySet()) {
            RackName rack = new RackName(entry.getValue() + "-rack-" + index / WORKERS_PER_RACK);
            list(
                    new VmRecord(
                            entry.getKey().value(),
                            workerServer.address(),
                            entry.getValue(),
                            rack,
                            VmRole.WORKER,
                            VmState.LIVE));
            index++;
        }
    }

    /**
     * Starts the endpoints of an availability zone and adds them to the list.
     *
     * @param zone the zone
     */
    private void startEndpoints(ZoneName zone) {
        for (int index = 0; index < ENDPOINTS_PER_ZONE; index++) {
            EndpointCounters counters = new EndpointCounters();
            endpointCounters.add(counters);
            String name = zone + "-endpoint-" + index;
            StandInServer server =
                    start(
                            name,
                            loop ->
                                    new EndpointServlet(
                                                    loop,
                                                    EndpointBehaviour.healthy(SERVICE_MILLIS),
                                                    counters)
                                            .withHealthCheck());
            list(
                    new VmRecord(
                            name,
                            server.address(),
                            zone,
                            new RackName(zone + "-rack-endpoints"),
                            VmRole.ENDPOINT,
                            VmState.LIVE));
        }
    }

    /**
     * Starts a server on a free port of loopback.
     *
     * @param name the name of its thread
     * @param servlet makes its servlet
     * @return the server
     */
    private StandInServer start(String name, Function<Eventloop, AsyncServlet> servlet) {
        InetSocketAddress address = new InetSocketAddress(InetAddress.getLoopbackAddress(), 0);
        StandInServer server = StandInServer.start(name, address, servlet);
        servers.add(server);
        return server;
    }
}
