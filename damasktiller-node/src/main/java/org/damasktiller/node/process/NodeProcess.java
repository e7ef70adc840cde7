package org.damasktiller.node.process;

import io.activej.eventloop.Eventloop;
import io.activej.http.AsyncServlet;
import io.activej.http.HttpRequest;
import io.activej.http.HttpResponse;
import io.activej.http.HttpServer;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.time.Clock;
import java.time.Duration;
import java.util.UUID;
import org.damasktiller.error.DamasktillerException;
import org.damasktiller.error.ErrorCode;
import org.damasktiller.error.Outcome;
import org.damasktiller.error.Step;
import org.damasktiller.node.caller.CallerServlet;
import org.damasktiller.node.caller.SubmissionAcceptor;
import org.damasktiller.node.caller.SubmissionQuestions;
import org.damasktiller.node.cluster.Cluster;
import org.damasktiller.node.cluster.ManifestFollower;
import org.damasktiller.node.cluster.NodeIdentity;
import org.damasktiller.node.log.JsonLineLog;
import org.damasktiller.node.metrics.EventMetrics;
import org.damasktiller.platform.advice.HttpAdviceClient;
import org.damasktiller.platform.call.JsonHttpClient;
import org.damasktiller.platform.http.EventLoops;
import org.damasktiller.platform.metadata.HttpMetadataStore;
import org.damasktiller.platform.order.HttpWorkerClient;
import org.damasktiller.platform.record.JsonPlatformRecordDecoder;
import org.damasktiller.platform.settings.PlatformSettings;
import org.damasktiller.platform.settings.SettingsReader;
import org.damasktiller.scheduler.cell.CellLayout;
import org.damasktiller.scheduler.cell.CellSettings;
import org.damasktiller.scheduler.port.AdviceCalls;
import org.damasktiller.scheduler.port.MetadataStore;

/** The process of an entry VM: it takes callers, and owns the cells that it wins. */
public final class NodeProcess {

    /** How long an answer of the store may take, in milliseconds. */
    private static final long STORE_MILLIS = 1_000;

    /** How long an answer of a watch may take, its wait of 1.5 s included, in milliseconds. */
    private static final long WATCH_MILLIS = 2_600;

    /** How long an answer of a worker may take, in milliseconds. */
    private static final long WORKER_MILLIS = 600;

    /** How long an answer to a look may take, its wait of 0.5 s included, in milliseconds. */
    private static final long LOOK_MILLIS = 1_200;

    /** How long an answer of the advice service may take, in milliseconds. */
    private static final long ADVICE_MILLIS = 3_000;

    /** How long the load balancer needs to send callers elsewhere, in milliseconds. */
    private static final long BALANCER_MILLIS = 3_000;

    /** How much of the grace is kept for the end of the process, in milliseconds. */
    private static final long EXIT_MARGIN_MILLIS = 1_000;

    /** The time between two looks at the requests in flight while stopping, in milliseconds. */
    private static final long STOP_POLL_MILLIS = 50;

    /** How long a caller's connection may be idle, in milliseconds. */
    private static final long IDLE_MILLIS = 30_000;

    /** How long a caller may take to send a request, in milliseconds. */
    private static final long MESSAGE_MILLIS = 10_000;

    /** The path of the metrics, on the address of the load balancer. */
    private static final String METRICS_PATH = "/metrics";

    /** The status of a process that takes callers. */
    private static final int READY = 200;

    /** The status of a process that does not take callers. */
    private static final int NOT_READY = 503;

    /** The path of the settings file. */
    private final Path path;

    /** The settings read at the start. */
    private final PlatformSettings settings;

    /** The event loop. */
    private final Eventloop eventloop;

    /** Writes the lines of the log. */
    private final JsonLineLog lines;

    /** The log, which counts what it passes on. */
    private final EventMetrics log;

    /** The clock and the timers. */
    private final LoopRuntime runtime;

    /** The part in the cluster. */
    private final Cluster cluster;

    /** The manifest. */
    private final ManifestFollower manifest;

    /** Takes callers. */
    private final CallerServlet servlet;

    /** Listens for callers. */
    private final HttpServer callers;

    /** Listens for the load balancer. */
    private final HttpServer readiness;

    /** Whether the process is stopping. */
    private boolean stopping;

    /**
     * Creates a process.
     *
     * @param path the path of the settings file
     * @param settings the settings
     */
    public NodeProcess(Path path, PlatformSettings settings) {
        this.path = path;
        this.settings = settings;
        Clock clock = Clock.systemUTC();
        eventloop = EventLoops.create();
        lines = new JsonLineLog(settings.node(), clock);
        log = new EventMetrics(lines);
        runtime = new LoopRuntime(eventloop, clock, log);
        MetadataStore store =
                new HttpMetadataStore(
                        new JsonHttpClient(eventloop, STORE_MILLIS),
                        new JsonHttpClient(eventloop, WATCH_MILLIS),
                        settings.storeAddress());
        JsonPlatformRecordDecoder records = new JsonPlatformRecordDecoder();
        CellLayout layout = new CellLayout(settings.zones());
        CellSettings cells =
                CellSettings.builder()
                        .impactMillis(settings.bounds().longestFillerImpactMillis())
                        .remoteFactor(settings.bounds().remoteFactor())
                        .longestWorkerLeaseMillis(settings.bounds().longestWorkerLeaseMillis())
                        .shortestStoreLeaseMillis(settings.bounds().shortestStoreLeaseMillis())
                        .build();
        cluster =
                new Cluster(
                        new NodeIdentity(
                                settings.node(), UUID.randomUUID().toString(), settings.zone()),
                        layout,
                        cells,
                        store,
                        new HttpWorkerClient(
                                new JsonHttpClient(eventloop, WORKER_MILLIS),
                                new JsonHttpClient(eventloop, LOOK_MILLIS)),
                        advice(),
                        records,
                        runtime,
                        log);
        manifest = new ManifestFollower(store, records, runtime, log, cluster::manifest);
        servlet =
                new CallerServlet(
                        manifest::current,
                        new SubmissionAcceptor(store, layout, settings.zone(), runtime, log),
                        new SubmissionQuestions(store, cluster, runtime, log),
                        cluster,
                        runtime,
                        log);
        callers = server(servlet, settings.callerAddress());
        readiness = server(request -> inform(request).toPromise(), settings.readinessAddress());
    }

    /**
     * Runs the process until it is told to stop.
     *
     * @throws DamasktillerException with code BAD_SETTING if an address can't be listened on
     */
    public void run() {
        lines.start(System.out);
        log.log(
                "process.start",
                "zone",
                settings.zone(),
                "region",
                settings.region(),
                "store",
                settings.storeAddress(),
                "callers",
                settings.callerAddress());
        ProcessSignals.handle("TERM", () -> eventloop.execute(this::stop));
        ProcessSignals.handle("HUP", () -> eventloop.execute(this::reload));
        try {
            callers.listen();
            readiness.listen();
        } catch (IOException exception) {
            throw new DamasktillerException(
                    ErrorCode.BAD_SETTING,
                    Step.SETTINGS,
                    settings.callerAddress().toString(),
                    Outcome.NOT_RUN,
                    "can't listen: " + exception,
                    exception);
        }
        eventloop.execute(
                () -> {
                    manifest.start();
                    cluster.start();
                });
        eventloop.run();
    }

    /**
     * Makes the client of the advice service.
     *
     * @return the client
     */
    private AdviceCalls advice() {
        InetSocketAddress address = settings.adviceAddress();
        return address == null
                ? AdviceCalls.NONE
                : new HttpAdviceClient(new JsonHttpClient(eventloop, ADVICE_MILLIS), address);
    }

    /**
     * Makes a server.
     *
     * @param handler handles its requests
     * @param address where it listens
     * @return the server
     */
    private HttpServer server(AsyncServlet handler, InetSocketAddress address) {
        return HttpServer.builder(eventloop, handler)
                .withListenAddress(address)
                .withKeepAliveTimeout(Duration.ofMillis(IDLE_MILLIS))
                .withReadWriteTimeout(Duration.ofMillis(MESSAGE_MILLIS))
                .build();
    }

    /**
     * Answers the load balancer, and whoever asks for the metrics.
     *
     * @param request the request
     * @return the response
     */
    private HttpResponse inform(HttpRequest request) {
        if (request.getPath().equals(METRICS_PATH)) {
            return HttpResponse.ofCode(READY).withPlainText(log.render()).build();
        }
        return HttpResponse.ofCode(ready() ? READY : NOT_READY).build();
    }

    /**
     * Tells whether the process takes callers: it can accept submissions.
     *
     * @return whether it does
     */
    private boolean ready() {
        return !stopping && manifest.current() != null && cluster.storeReachable();
    }

    /** Reads the settings file again; what is read at the start only needs a restart to change. */
    private void reload() {
        try {
            PlatformSettings read = SettingsReader.read(path);
            log.log("process.reload", "changed", !read.equals(settings));
        } catch (DamasktillerException exception) {
            log.log("process.reload-failed", "reason", String.valueOf(exception.getMessage()));
        }
    }

    /** Stops: hands the cells over, waits for the load balancer and the requests in flight. */
    private void stop() {
        if (stopping) {
            return;
        }
        stopping = true;
        log.log("process.stop", "inFlight", servlet.inFlight());
        cluster.leave();
        servlet.closeConnections();
        long began = runtime.nowMillis();
        long latest = began + settings.bounds().stopGraceMillis() - EXIT_MARGIN_MILLIS;
        runtime.schedule(BALANCER_MILLIS, () -> finish(latest));
    }

    /**
     * Ends the process once no request is in flight.
     *
     * @param latestMillis when the process ends at the latest, in milliseconds
     */
    private void finish(long latestMillis) {
        callers.close();
        if (servlet.inFlight() > 0 && runtime.nowMillis() < latestMillis) {
            runtime.schedule(STOP_POLL_MILLIS, () -> finish(latestMillis));
            return;
        }
        log.log("process.end", "inFlight", servlet.inFlight());
        cluster.close();
        runtime.schedule(STOP_POLL_MILLIS, () -> System.exit(0));
    }
}
