package org.damasktiller.daemon.entry;

import com.codahale.metrics.MetricRegistry;
import io.activej.common.time.CurrentTimeProvider;
import io.activej.eventloop.Eventloop;
import io.activej.promise.Promise;
import java.lang.System.Logger;
import java.time.Duration;
import java.util.List;
import java.util.SplittableRandom;
import java.util.UUID;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.function.IntSupplier;
import org.damasktiller.authority.layout.CellLayout;
import org.damasktiller.authority.ownership.OwnerIdentity;
import org.damasktiller.daemon.cell.CellHost;
import org.damasktiller.daemon.cell.ForwardingJobRouter;
import org.damasktiller.daemon.cell.PeerJobClient;
import org.damasktiller.daemon.drive.OwnerEnvironment;
import org.damasktiller.daemon.gateway.GatewayLimits;
import org.damasktiller.daemon.gateway.InteractiveGateway;
import org.damasktiller.daemon.job.JobRouter;
import org.damasktiller.daemon.job.JobServlets;
import org.damasktiller.daemon.metrics.WorkMetrics;
import org.damasktiller.daemon.operator.StatusBody;
import org.damasktiller.daemon.settings.EntrySettings;
import org.damasktiller.identity.VmId;
import org.damasktiller.platform.http.JsonClient;
import org.damasktiller.platform.store.HttpKeyValueStore;
import org.damasktiller.platform.vm.HttpVmDirectory;
import org.damasktiller.platform.worker.HttpWorkerClient;
import org.damasktiller.routing.RequestRouter;
import org.damasktiller.store.KeyValueStore;
import org.damasktiller.table.TableRepository;
import org.damasktiller.vm.VmRecord;

/** The parts of an entry VM behind its listeners. Used on the event loop's thread only. */
final class EntryParts {

    /** The log. */
    private static final Logger LOGGER = System.getLogger(EntryParts.class.getName());

    /** How long to wait for a connection to the platform. */
    private static final Duration CONNECT_TIMEOUT = Duration.ofSeconds(2);

    /** The time between two readings of the table, in milliseconds. */
    private static final long TABLE_INTERVAL_MILLIS = 1_000;

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

    /** Tells the number of requests in flight. */
    private IntSupplier inFlight = () -> 0;

    /** Whether the VM takes new work. */
    private Readiness readiness = Readiness.STARTING;

    /** Whether the parts run. */
    private boolean running;

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
        gateway = createGateway();
        decisionPool = Executors.newFixedThreadPool(settings.decisionThreads());
        cellHost = createCellHost();
        fleetReader.addListener(cellHost::acceptFleet);
    }

    /** Starts the parts. */
    void start() {
        running = true;
        fleetReader.start();
        gateway.start();
        cellHost.start();
        followTable();
        readiness = Readiness.READY;
    }

    /**
     * Takes no new work any more and hands over what the VM owns.
     *
     * @return completed when everything is handed over
     */
    Promise<Void> startDraining() {
        readiness = Readiness.DRAINING;
        return cellHost.drain();
    }

    /**
     * Stops the parts.
     *
     * @return completed when they have stopped
     */
    Promise<?> stop() {
        running = false;
        fleetReader.stop();
        gateway.stop();
        cellHost.stop();
        decisionPool.shutdown();
        return client.stop();
    }

    /**
     * Reads the table from the store.
     *
     * @return completed when it was read or could not be
     */
    Promise<Void> readTable() {
        return repository
                .read()
                .whenResult(tableInForce::accept)
                .whenException(
                        exception ->
                                LOGGER.log(
                                        Logger.Level.WARNING,
                                        "table can not be read; version {0} stays in force: {1}",
                                        tableInForce.get().version(),
                                        exception.getMessage()))
                .toVoid()
                .map(ignored -> null, exception -> null);
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
                .endpoints(new EndpointSource(fleetReader::view, settings.zones()))
                .registry(metrics.registry())
                .limits(GatewayLimits.DEFAULT.withRequestBytes(settings.maximumBodyBytes()))
                .build();
    }

    /**
     * Makes the host of the zone's cells.
     *
     * @return the host, not yet started
     */
    private CellHost createCellHost() {
        OwnerEnvironment environment =
                new OwnerEnvironment(
                        eventloop,
                        decisionPool,
                        CurrentTimeProvider.ofSystem(),
                        store,
                        new HttpWorkerClient(
                                client,
                                worker ->
                                        fleetReader
                                                .view()
                                                .find(worker.value())
                                                .map(VmRecord::address),
                                settings.workerTimeoutMillis()));
        VmId self = new VmId(Addresses.text(settings.peerAddress()));
        return new CellHost(
                layout,
                settings.zone(),
                new OwnerIdentity(self, UUID.randomUUID().toString()),
                settings.cellSettings(),
                environment);
    }

    /** Reads the table now and again after the interval. */
    private void followTable() {
        if (!running) {
            return;
        }
        readTable()
                .whenComplete(
                        () -> eventloop.delayBackground(TABLE_INTERVAL_MILLIS, this::followTable));
    }

    /**
     * Tells what this VM knows of the system.
     *
     * @return the status
     */
    StatusBody status() {
        return new StatusBody(
                Addresses.text(settings.peerAddress()),
                settings.zone().value(),
                readiness.name(),
                tableInForce.get().version(),
                List.of(),
                List.of(),
                cellHost.status());
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
                        Addresses.text(settings.peerAddress()),
                        new PeerJobClient(client, settings.peerTimeoutMillis()));
        return new JobServlets(tableInForce::get, layout, router, settings.maximumBodyBytes());
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
