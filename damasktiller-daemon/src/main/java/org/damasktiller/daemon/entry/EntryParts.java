package org.damasktiller.daemon.entry;

import com.codahale.metrics.MetricRegistry;
import io.activej.common.time.CurrentTimeProvider;
import io.activej.eventloop.Eventloop;
import io.activej.promise.Promise;
import io.activej.promise.Promises;
import java.lang.System.Logger;
import java.time.Duration;
import java.util.List;
import java.util.SplittableRandom;
import java.util.UUID;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.function.IntSupplier;
import java.util.stream.Collectors;
import org.damasktiller.authority.claim.ClaimSettings;
import org.damasktiller.authority.claim.ClaimShards;
import org.damasktiller.authority.layout.CellLayout;
import org.damasktiller.authority.ownership.OwnerIdentity;
import org.damasktiller.daemon.cell.CellHost;
import org.damasktiller.daemon.cell.ForwardingJobRouter;
import org.damasktiller.daemon.cell.PeerJobClient;
import org.damasktiller.daemon.claim.ClaimHost;
import org.damasktiller.daemon.claim.RemoteClaims;
import org.damasktiller.daemon.drive.OwnerEnvironment;
import org.damasktiller.daemon.gateway.GatewayLimits;
import org.damasktiller.daemon.gateway.InteractiveGateway;
import org.damasktiller.daemon.job.JobRouter;
import org.damasktiller.daemon.job.JobServlets;
import org.damasktiller.daemon.metrics.WorkMetrics;
import org.damasktiller.daemon.operator.StatusBody;
import org.damasktiller.daemon.peer.PeerNode;
import org.damasktiller.daemon.settings.EntrySettings;
import org.damasktiller.identity.VmId;
import org.damasktiller.peer.ZoneMap;
import org.damasktiller.routing.RequestRouter;
import org.damasktiller.standin.client.store.HttpKeyValueStore;
import org.damasktiller.standin.client.vm.HttpVmDirectory;
import org.damasktiller.standin.client.worker.HttpWorkerClient;
import org.damasktiller.standin.http.JsonClient;
import org.damasktiller.store.KeyValueStore;
import org.damasktiller.table.TableRepository;
import org.damasktiller.vm.FleetView;
import org.damasktiller.vm.VmRecord;
import org.damasktiller.vm.VmRole;

/** The parts of an entry VM behind its listeners. Used on the event loop's thread only. */
final class EntryParts {

    /** The log. */
    private static final Logger LOGGER = System.getLogger(EntryParts.class.getName());

    /** How long to wait for a connection to the platform. */
    private static final Duration CONNECT_TIMEOUT = Duration.ofSeconds(2);

    /** The settings. */
    private final EntrySettings settings;

    /** The event loop that does the I/O. */
    private final Eventloop eventloop;

    /** The client for the platform. */
    private final JsonClient client;

    /** The platform's key-value service. */
    private final KeyValueStore store;

    /** Reads the list of VMs. */
    private final FleetReader fleetReader;

    /** The division of workers and jobs into cells. */
    private final CellLayout layout;

    /** The table in the store. */
    private final TableRepository repository;

    /** The table in force on this VM. */
    private final TableInForce tableInForce = new TableInForce();

    /** The metrics. */
    private final WorkMetrics metrics = new WorkMetrics(new MetricRegistry());

    /** Serves interactive calls. */
    private final InteractiveGateway gateway;

    /** The threads on which decisions are taken. */
    private final ExecutorService decisionPool;

    /** Owns cells of the availability zone, or stands by to. */
    private final CellHost cellHost;

    /** Owns claim shards, or stands by to, and claims requests. */
    private final ClaimHost claimHost;

    /** The membership and the spread of the table. */
    private final PeerNode peerNode;

    /** The name of this VM, its address for other entry VMs. */
    private final VmId self;

    /** Tells what this VM knows of the system. */
    private final StatusReport statusReport;

    /** Tells the number of requests in flight. */
    private IntSupplier inFlight = () -> 0;

    /** Whether the VM takes new work. */
    private Readiness readiness = Readiness.STARTING;

    /**
     * Creates the parts.
     *
     * @param settings the settings
     * @param eventloop the event loop
     */
    EntryParts(EntrySettings settings, Eventloop eventloop) {
        this.settings = settings;
        this.eventloop = eventloop;
        layout = new CellLayout(settings.zones().keySet(), settings.cellsPerZone());
        client = new JsonClient(eventloop, CONNECT_TIMEOUT);
        store =
                new HttpKeyValueStore(
                        client, Addresses.text(settings.store()), settings.storeTimeoutMillis());
        repository =
                new TableRepository(
                        store,
                        settings.zones().keySet(),
                        eventloop::currentTimeMillis,
                        () -> tableInForce.get().version());
        fleetReader =
                new FleetReader(
                        eventloop,
                        new HttpVmDirectory(
                                client,
                                Addresses.text(settings.vmList()),
                                settings.storeTimeoutMillis()),
                        settings.vmListIntervalMillis());
        self = new VmId(Addresses.text(Addresses.withPort(settings.peerAddress())));
        decisionPool = Executors.newFixedThreadPool(settings.decisionThreads());
        OwnerEnvironment environment = createEnvironment();
        OwnerIdentity identity = new OwnerIdentity(self, UUID.randomUUID().toString());
        cellHost =
                new CellHost(
                        layout,
                        settings.zone(),
                        identity,
                        tableInForce::get,
                        settings.cellSettings(),
                        environment);
        peerNode = createPeerNode();
        claimHost =
                new ClaimHost(
                        new ClaimShards(settings.claimShards()),
                        identity,
                        ClaimSettings.DEFAULT,
                        environment,
                        new RemoteClaims(peerNode::call));
        peerNode.serve((from, body) -> RemoteClaims.serve(claimHost, from, body));
        statusReport = new StatusReport(self, settings.zone(), eventloop, peerNode, cellHost);
        gateway = createGateway();
        fleetReader.addListener(cellHost::acceptFleet);
        fleetReader.addListener(fleet -> peerNode.onVmList(peerList(fleet)));
    }

    /**
     * Starts the parts.
     *
     * @return completed when they run; fails if the address for other entry VMs is taken
     */
    Promise<Void> start() {
        return peerNode.start()
                .whenResult(
                        () -> {
                            fleetReader.start();
                            gateway.start();
                            cellHost.start();
                            claimHost.start();
                            readTable();
                            readiness = Readiness.READY;
                        });
    }

    /**
     * Takes no new work any more and hands over what the VM owns.
     *
     * @return completed when everything is handed over
     */
    Promise<Void> startDraining() {
        readiness = Readiness.DRAINING;
        peerNode.startLeaving();
        return Promises.all(cellHost.drain(), claimHost.drain());
    }

    /**
     * Stops the parts.
     *
     * @return completed when they have stopped
     */
    Promise<?> stop() {
        fleetReader.stop();
        gateway.stop();
        cellHost.stop();
        claimHost.stop();
        decisionPool.shutdown();
        return Promises.all(peerNode.stop(), client.stop());
    }

    /** Reads the table from the store, so that it spreads from this VM at once. */
    void readTable() {
        repository
                .read()
                .whenResult(peerNode::onLocalTable)
                .whenException(
                        exception ->
                                LOGGER.log(
                                        Logger.Level.WARNING,
                                        "table can not be read; version {0} stays in force: {1}",
                                        tableInForce.get().version(),
                                        exception.getMessage()));
    }

    /**
     * Makes the gateway for interactive calls.
     *
     * @return the gateway, not yet started
     */
    private InteractiveGateway createGateway() {
        RequestRouter router =
                RequestRouter.builder(settings.zone(), settings.region(), new SplittableRandom())
                        .build();
        return InteractiveGateway.builder(eventloop, router)
                .kinds(name -> tableInForce.get().row(name).orElse(null))
                .endpoints(
                        new EndpointSource(
                                fleetReader::view, settings.zones(), peerNode::endpointLeaving))
                .registry(metrics.registry())
                .claimGate(claimHost)
                .leavingListener(endpoint -> peerNode.markEndpoint(endpoint, true))
                .limits(GatewayLimits.DEFAULT.withRequestBytes(settings.maximumBodyBytes()))
                .build();
    }

    /**
     * Makes what the owners of cells and claim shards need.
     *
     * @return the environment
     */
    private OwnerEnvironment createEnvironment() {
        HttpWorkerClient workers =
                new HttpWorkerClient(
                        client,
                        worker -> fleetReader.view().find(worker.value()).map(VmRecord::address),
                        settings.workerTimeoutMillis());
        return new OwnerEnvironment(
                eventloop, decisionPool, CurrentTimeProvider.ofSystem(), store, workers);
    }

    /**
     * Makes the membership and the spread of the table.
     *
     * @return the node, not yet started
     */
    private PeerNode createPeerNode() {
        return PeerNode.builder(
                        eventloop, self, settings.zone(), new ZoneMap(settings.zones()), store)
                .seeds(
                        settings.seeds().stream()
                                .map(seed -> new VmId(Addresses.text(seed)))
                                .collect(Collectors.toSet()))
                .tableListener(tableInForce::accept)
                .memberListener(cellHost::onMembers)
                .build();
    }

    /**
     * Lists the entry VMs by their addresses for other entry VMs, which are their names.
     *
     * @param fleet the platform's list
     * @return the entry VMs
     */
    private static List<VmRecord> peerList(FleetView fleet) {
        return fleet.all().stream()
                .filter(vm -> vm.role() == VmRole.ENTRY)
                .map(
                        vm ->
                                new VmRecord(
                                        vm.name(),
                                        vm.name(),
                                        vm.zone(),
                                        vm.rack(),
                                        vm.role(),
                                        vm.state()))
                .toList();
    }

    /**
     * Tells what this VM knows of the system.
     *
     * @return the status
     */
    Promise<StatusBody> status() {
        return statusReport.read(readiness, tableInForce.get().version());
    }

    /**
     * Returns the name of this VM, its address for other entry VMs.
     *
     * @return the name
     */
    VmId self() {
        return self;
    }

    /**
     * Sets what tells the number of requests in flight.
     *
     * @param value tells the number
     */
    void setInFlight(IntSupplier value) {
        inFlight = value;
    }

    /**
     * Returns the number of requests in flight.
     *
     * @return the number
     */
    int inFlight() {
        return inFlight.getAsInt();
    }

    /**
     * Returns whether the VM takes new work.
     *
     * @return the readiness
     */
    Readiness readiness() {
        return readiness;
    }

    /**
     * Returns the settings.
     *
     * @return the settings
     */
    EntrySettings settings() {
        return settings;
    }

    /**
     * Returns the event loop.
     *
     * @return the event loop
     */
    Eventloop eventloop() {
        return eventloop;
    }

    /**
     * Returns the table in the store.
     *
     * @return the repository
     */
    TableRepository repository() {
        return repository;
    }

    /**
     * Returns the gateway for interactive calls.
     *
     * @return the gateway
     */
    InteractiveGateway gateway() {
        return gateway;
    }

    /**
     * Makes the servlets for jobs.
     *
     * @return the servlets
     */
    JobServlets jobs() {
        JobRouter router =
                new ForwardingJobRouter(
                        cellHost,
                        layout,
                        fleetReader::view,
                        self.value(),
                        new PeerJobClient(client, settings.peerTimeoutMillis()));
        return new JobServlets(
                tableInForce::get, layout, router, settings.maximumBodyBytes(), metrics, eventloop);
    }

    /**
     * Returns the metrics.
     *
     * @return the metrics
     */
    WorkMetrics metrics() {
        return metrics;
    }
}
