package org.damasktiller.node.process;

import io.activej.eventloop.Eventloop;
import io.activej.http.HttpRequest;
import io.activej.http.HttpResponse;
import io.activej.http.HttpServer;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.time.Clock;
import java.util.List;
import java.util.UUID;
import org.damasktiller.error.DamasktillerException;
import org.damasktiller.error.ErrorCode;
import org.damasktiller.error.Operation;
import org.damasktiller.error.Outcome;
import org.damasktiller.node.caller.CallerRelay;
import org.damasktiller.node.caller.CallerServlet;
import org.damasktiller.node.caller.RelayServlet;
import org.damasktiller.node.caller.SubmissionAcceptor;
import org.damasktiller.node.caller.SubmissionStateHandler;
import org.damasktiller.node.caller.TombstoneRemover;
import org.damasktiller.node.cluster.ClusterMember;
import org.damasktiller.node.cluster.LayoutSettings;
import org.damasktiller.node.cluster.ManifestFloor;
import org.damasktiller.node.cluster.ManifestWatcher;
import org.damasktiller.node.cluster.NodeIdentity;
import org.damasktiller.node.intake.BodyReader;
import org.damasktiller.node.intake.Intake;
import org.damasktiller.node.log.JsonLineLog;
import org.damasktiller.node.metrics.EventMetrics;
import org.damasktiller.node.placement.PlacementQuestion;
import org.damasktiller.platform.advice.HttpAdviceClient;
import org.damasktiller.platform.call.JsonHttpClient;
import org.damasktiller.platform.http.EventLoops;
import org.damasktiller.platform.order.HttpWorkerClient;
import org.damasktiller.platform.record.JsonPlatformRecordDecoder;
import org.damasktiller.platform.settings.Addresses;
import org.damasktiller.platform.settings.PlatformSettings;
import org.damasktiller.platform.settings.SettingsReader;
import org.damasktiller.scheduler.cell.CellSettings;
import org.damasktiller.scheduler.policy.PolicySet;
import org.damasktiller.scheduler.port.AdviceClient;
import org.damasktiller.scheduler.port.MetadataStore;
import org.jspecify.annotations.Nullable;

/**
 * The process of an entry VM. It wires all components to one event loop, listens for callers and
 * for the load balancer, and shuts down within the grace period after SIGTERM. Each entry VM
 * accepts submissions, and owns the cells whose elections it wins.
 */
public final class NodeProcess {

    /** The timeout of a call to a worker, in milliseconds. */
    private static final long WORKER_TIMEOUT_MILLIS = 600;

    /** The timeout of a poll of a worker, in milliseconds; the worker may hold it for 0.5 s. */
    private static final long WORKER_POLL_TIMEOUT_MILLIS = 1_200;

    /**
     * The timeout of a request that is passed on to a peer, in milliseconds: longer than a peer
     * waits for the store.
     */
    private static final long RELAY_TIMEOUT_MILLIS = 1_700;

    /** The timeout of a call to the advice service, in milliseconds. */
    private static final long ADVICE_TIMEOUT_MILLIS = 3_000;

    /** The time that the load balancer needs to direct callers to other VMs, in milliseconds. */
    private static final long LOAD_BALANCER_DRAIN_MILLIS = 3_000;

    /** The part of the grace period that is reserved for the exit, in milliseconds. */
    private static final long EXIT_MARGIN_MILLIS = 1_000;

    /** The interval between checks for requests in flight during shutdown, in milliseconds. */
    private static final long STOP_POLL_INTERVAL_MILLIS = 50;

    /** The path of the metrics, served on the readiness address. */
    private static final String METRICS_PATH = "/metrics";

    /** The path of questions about placement, served on the readiness address. */
    private static final String PLACEMENT_PATH = "/placement";

    /** The HTTP status of a question that is not understood. */
    private static final int HTTP_BAD_REQUEST = 400;

    /** The HTTP status of the metrics and of a process that is ready for callers. */
    private static final int HTTP_OK = 200;

    /** The HTTP status of a process that is not ready for callers. */
    private static final int HTTP_SERVICE_UNAVAILABLE = 503;

    /** The path of the settings file. */
    private final Path settingsPath;

    /** The settings that were read at startup. */
    private final PlatformSettings settings;

    /** The event loop on which all components run. */
    private final Eventloop eventloop;

    /** Writes log events to the standard output. */
    private final JsonLineLog jsonLog;

    /** The log of all components; derives metrics from the events and passes them on. */
    private final EventMetrics log;

    /** The clock and the timers. */
    private final EventLoopRuntime runtime;

    /** The membership of this process in the cluster. */
    private final ClusterMember clusterMember;

    /** Watches the operator's manifest. */
    private final ManifestWatcher manifestWatcher;

    /** Knows the oldest version of the manifest by which callers may be answered. */
    private final ManifestFloor manifestFloor;

    /** Serves the requests of callers. */
    private final CallerServlet callerServlet;

    /** Removes tombstones that are no longer needed. */
    private final TombstoneRemover tombstoneRemover;

    /** Reads the bodies of the requests of callers and peers. */
    private final BodyReader bodies;

    /** The HTTP server for callers. */
    private final HttpServer callerServer;

    /** The HTTP server for requests that peers pass on, or null if the VM has no port for it. */
    private final @Nullable HttpServer peerServer;

    /** The HTTP server for the load balancer's readiness checks and for the metrics. */
    private final HttpServer readinessServer;

    /** The policies that are in force. */
    private final PolicySet policies;

    /** Whether the shutdown has begun. */
    private boolean stopping;

    /**
     * Creates a process that is not running yet.
     *
     * @param settingsPath the path of the settings file, which is read again on SIGHUP
     * @param settings the settings
     * @param options the command-line options
     */
    public NodeProcess(Path settingsPath, PlatformSettings settings, Options options) {
        this.settingsPath = settingsPath;
        this.settings = settings;
        this.policies = PolicySet.without(options.disabledPolicies);
        Clock clock = Clock.systemUTC();
        eventloop = EventLoops.create();
        jsonLog = new JsonLineLog(settings.node(), clock);
        log = new EventMetrics(jsonLog);
        runtime = new EventLoopRuntime(eventloop, clock, log);
        MetadataStore store = StoreClients.create(eventloop, settings.storeAddress());
        JsonPlatformRecordDecoder records = new JsonPlatformRecordDecoder();
        clusterMember = createClusterMember(options, store, records);
        manifestWatcher =
                new ManifestWatcher(
                        StoreClients.createForManifest(eventloop, settings.storeAddress()),
                        records,
                        runtime,
                        log,
                        clusterMember::isStoreFar,
                        clusterMember);
        clusterMember.setManifestChangeListener(manifestWatcher::onPublished);
        manifestFloor =
                new ManifestFloor(manifestWatcher, clusterMember::isStoreFailing, runtime, log);
        Intake intake = Intake.create(settings.maximumDescriptors(), runtime, log);
        bodies = intake.bodies();
        callerServlet = createCallerServlet(store);
        tombstoneRemover =
                new TombstoneRemover(store, clusterMember::isFirstRegistered, runtime, log);
        HttpServers servers = new HttpServers(eventloop);
        InetSocketAddress peerAddress = settings.peerAddress();
        peerServer =
                peerAddress == null
                        ? null
                        : servers.create(
                                new RelayServlet(callerServlet, intake.peerBodies(), runtime, log),
                                peerAddress);
        callerServer = servers.createForCallers(callerServlet, settings.callerAddress(), intake);
        readinessServer =
                servers.create(
                        request -> serveStatus(request).toPromise(), settings.readinessAddress());
    }

    /**
     * Takes SIGHUP from now on and runs the event loop as {@link #run(PendingSignal)} does.
     *
     * @throws DamasktillerException with code BAD_SETTING if an address can't be listened on
     */
    public void run() {
        PendingSignal hangup = new PendingSignal();
        ProcessSignals.handle("HUP", hangup);
        run(hangup);
    }

    /**
     * Runs the event loop on the current thread. After SIGTERM and an orderly shutdown, the JVM
     * exits with code 0.
     *
     * @param hangup SIGHUP, which may have arrived before; the settings file is read again then
     * @throws DamasktillerException with code BAD_SETTING if an address can't be listened on
     */
    void run(PendingSignal hangup) {
        jsonLog.start(System.out);
        log.log(
                "process.start",
                "zone",
                settings.zone(),
                "region",
                settings.region(),
                "store",
                settings.storeAddress(),
                "callers",
                settings.callerAddress(),
                "policiesOff",
                policies);
        ProcessSignals.handle("TERM", () -> eventloop.execute(this::stop));
        hangup.release(() -> eventloop.execute(this::reload));
        try {
            callerServer.listen();
            readinessServer.listen();
            if (peerServer != null) {
                peerServer.listen();
            }
        } catch (IOException exception) {
            throw new DamasktillerException(
                    ErrorCode.BAD_SETTING,
                    Operation.SETTINGS,
                    settings.callerAddress().toString(),
                    Outcome.NOT_RUN,
                    "can't listen: " + exception,
                    exception);
        }
        eventloop.execute(
                () -> {
                    new ClockMonitor(runtime, log).start();
                    manifestWatcher.start();
                    clusterMember.start();
                    tombstoneRemover.start();
                });
        eventloop.run();
    }

    /**
     * Creates the membership of this process in the cluster.
     *
     * @param options the command-line options
     * @param store the store
     * @param records decodes the records of the platform
     * @return the membership, which has not joined
     */
    private ClusterMember createClusterMember(
            Options options, MetadataStore store, JsonPlatformRecordDecoder records) {
        return new ClusterMember(
                createIdentity(),
                new LayoutSettings(settings.regionByZone(), options.maxZonesPerCell),
                createCellSettings(),
                store,
                new HttpWorkerClient(
                        new JsonHttpClient(eventloop, WORKER_TIMEOUT_MILLIS),
                        new JsonHttpClient(eventloop, WORKER_POLL_TIMEOUT_MILLIS)),
                createAdviceClient(),
                records,
                runtime,
                log);
    }

    /**
     * Creates the servlet for callers.
     *
     * @param store the store
     * @return the servlet
     */
    private CallerServlet createCallerServlet(MetadataStore store) {
        return new CallerServlet(
                manifestWatcher::current,
                new SubmissionAcceptor(
                        store,
                        clusterMember::layout,
                        settings.zone(),
                        clusterMember::largestWorkers,
                        clusterMember::admits,
                        settings.bounds().storeValueBytes(),
                        runtime,
                        log),
                new SubmissionStateHandler(store, clusterMember::submissionState, runtime, log),
                clusterMember,
                CallerRelay.create(
                        clusterMember,
                        settings.zone(),
                        settings.regionByZone(),
                        new JsonHttpClient(eventloop, RELAY_TIMEOUT_MILLIS),
                        manifestFloor,
                        runtime,
                        log),
                manifestFloor,
                bodies,
                runtime,
                log);
    }

    /**
     * Creates the identity of this process.
     *
     * @return the identity, with a new identifier of the process
     */
    private NodeIdentity createIdentity() {
        return new NodeIdentity(
                settings.node(),
                UUID.randomUUID().toString(),
                settings.zone(),
                settings.cpuMillicores(),
                runtime.unixMillis(),
                settings.peerAddress() == null ? "" : Addresses.format(settings.peerAddress()));
    }

    /**
     * Creates the settings of the cells from the limits of the deployment and the policies in
     * force.
     *
     * @return the settings
     */
    private CellSettings createCellSettings() {
        return CellSettings.builder()
                .maximumOverTargetMillis(settings.bounds().maximumOverTargetMillis())
                .maximumEntryAgeMillis(settings.bounds().maximumContactGapMillis())
                .policies(policies)
                .evacuationBoundMillis(settings.bounds().evacuationMillis())
                .remoteFactor(settings.bounds().remoteFactor())
                .valueBytes(settings.bounds().storeValueBytes())
                .maximumWorkerLeaseMillis(settings.bounds().maximumWorkerLeaseMillis())
                .minimumStoreLeaseMillis(settings.bounds().minimumStoreLeaseMillis())
                .build();
    }

    /**
     * Creates the client of the advice service.
     *
     * @return the client, or {@link AdviceClient#NONE} if the settings have no address
     */
    private AdviceClient createAdviceClient() {
        InetSocketAddress address = settings.adviceAddress();
        return address == null
                ? AdviceClient.NONE
                : new HttpAdviceClient(
                        new JsonHttpClient(eventloop, ADVICE_TIMEOUT_MILLIS), address);
    }

    /**
     * Serves the metrics and questions about placement on their paths, and the readiness check on
     * all other paths.
     *
     * @param request the request
     * @return the response
     */
    private HttpResponse serveStatus(HttpRequest request) {
        if (request.getPath().equals(METRICS_PATH)) {
            return HttpResponse.ofCode(HTTP_OK).withPlainText(log.render()).build();
        }
        if (request.getPath().equals(PLACEMENT_PATH)) {
            return explainPlacement(request);
        }
        return HttpResponse.ofCode(isReady() ? HTTP_OK : HTTP_SERVICE_UNAVAILABLE).build();
    }

    /**
     * Answers where a task would start now. Nothing is started or stored.
     *
     * @param request the question, in its query parameters
     * @return the explanation as text, or status 400 with the error code
     */
    private HttpResponse explainPlacement(HttpRequest request) {
        try {
            PlacementQuestion question = PlacementQuestion.parse(request::getQueryParameter);
            List<String> lines = clusterMember.explainPlacement(question.route(), question.spec());
            return HttpResponse.ofCode(HTTP_OK).withPlainText(String.join("\n", lines)).build();
        } catch (DamasktillerException exception) {
            return HttpResponse.ofCode(HTTP_BAD_REQUEST)
                    .withPlainText(exception.code() + ": " + exception.getMessage())
                    .build();
        }
    }

    /**
     * Tells whether the process can accept submissions: it is not shutting down, knows a manifest
     * that it may answer by and the cells, and the store is reachable.
     *
     * @return whether the process is ready for callers
     */
    private boolean isReady() {
        return !stopping
                && manifestWatcher.current() != null
                && !manifestFloor.isOverdue()
                && clusterMember.layout() != null
                && clusterMember.isStoreReachable();
    }

    /**
     * Reads the settings file again and logs whether it is valid and has changed. Changes take
     * effect after a restart.
     */
    private void reload() {
        try {
            PlatformSettings reloaded = SettingsReader.read(settingsPath);
            log.log("process.reload", "changed", !reloaded.equals(settings));
        } catch (DamasktillerException exception) {
            log.log("process.reload-failed", "reason", String.valueOf(exception.getMessage()));
        }
    }

    /**
     * Starts the shutdown: gives up all cells, reports the process as not ready, and lets the load
     * balancer direct callers to other VMs before the server for callers is closed.
     */
    private void stop() {
        if (stopping) {
            return;
        }
        stopping = true;
        log.log("process.stop", "inFlight", callerServlet.requestsInFlight());
        clusterMember.leave();
        callerServlet.closeConnections();
        long startMillis = runtime.nowMillis();
        long deadlineMillis =
                startMillis + settings.bounds().stopGraceMillis() - EXIT_MARGIN_MILLIS;
        runtime.schedule(LOAD_BALANCER_DRAIN_MILLIS, () -> exitWhenIdle(deadlineMillis));
    }

    /**
     * Stops listening for callers and exits once no request is in flight.
     *
     * @param deadlineMillis when to exit even with requests in flight, on the monotonic clock, in
     *     milliseconds
     */
    private void exitWhenIdle(long deadlineMillis) {
        callerServer.close();
        if (callerServlet.requestsInFlight() > 0 && runtime.nowMillis() < deadlineMillis) {
            runtime.schedule(STOP_POLL_INTERVAL_MILLIS, () -> exitWhenIdle(deadlineMillis));
            return;
        }
        log.log("process.end", "inFlight", callerServlet.requestsInFlight());
        clusterMember.close();
        runtime.schedule(STOP_POLL_INTERVAL_MILLIS, () -> System.exit(0));
    }
}
