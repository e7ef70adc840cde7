package org.damasktiller.daemon.entry;

import com.codahale.metrics.MetricRegistry;
import io.activej.eventloop.Eventloop;
import io.activej.http.HttpMethod;
import io.activej.http.HttpServer;
import io.activej.http.RoutingServlet;
import io.activej.promise.Promise;
import io.activej.promise.Promises;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.lang.System.Logger;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import org.damasktiller.daemon.metrics.MetricsServlet;
import org.damasktiller.daemon.metrics.WorkMetrics;
import org.damasktiller.daemon.settings.EntrySettings;
import org.damasktiller.platform.http.JsonClient;
import org.damasktiller.platform.http.JsonResponses;
import org.damasktiller.platform.vm.HttpVmDirectory;

/** One entry VM: its event loop, its listeners and its parts, put together. */
public final class EntryNode {

    /** The log. */
    private static final Logger LOGGER = System.getLogger(EntryNode.class.getName());

    /** How long to wait for a connection to the platform. */
    private static final Duration CONNECT_TIMEOUT = Duration.ofSeconds(2);

    /** The settings. */
    private final EntrySettings settings;

    /** The event loop that does the I/O. */
    private final Eventloop eventloop;

    /** The client for the platform. */
    private final JsonClient client;

    /** Reads the list of VMs. */
    private final FleetReader fleetReader;

    /** The metrics. */
    private final WorkMetrics metrics = new WorkMetrics(new MetricRegistry());

    /** The callers' requests. */
    private final DrainableServlet callerServlet;

    /** The callers' listener. */
    private final HttpServer callerServer;

    /** The operators' listener. */
    private final HttpServer operatorServer;

    /** Completed when the VM has ended, with whether no request was cut off. */
    private final CompletableFuture<Boolean> ended = new CompletableFuture<>();

    /** Whether the VM takes new work. */
    private volatile Readiness readiness = Readiness.STARTING;

    /**
     * Creates the parts.
     *
     * @param settings the settings
     * @param eventloop the event loop
     */
    private EntryNode(EntrySettings settings, Eventloop eventloop) {
        this.settings = settings;
        this.eventloop = eventloop;
        client = new JsonClient(eventloop, CONNECT_TIMEOUT);
        fleetReader =
                new FleetReader(
                        eventloop,
                        new HttpVmDirectory(
                                client, text(settings.vmList()), settings.storeTimeoutMillis()),
                        settings.vmListIntervalMillis());
        callerServlet = new DrainableServlet(callerRoutes());
        callerServer = server(settings.address(), callerServlet);
        operatorServer = server(settings.operatorAddress(), operatorRoutes());
    }

    /**
     * Starts an entry VM on a thread of its own.
     *
     * @param settings the checked settings
     * @return the running VM
     */
    public static EntryNode start(EntrySettings settings) {
        Eventloop eventloop = Eventloop.create();
        eventloop.keepAlive(true);
        Thread thread = new Thread(eventloop, "entry " + text(settings.address()));
        thread.start();
        return eventloop
                .submit(
                        () -> {
                            EntryNode node = new EntryNode(settings, eventloop);
                            node.listen();
                            return Promise.of(node);
                        })
                .join();
    }

    /**
     * Drains the VM: it takes no new work, finishes the requests in flight and ends. May be called
     * from any thread, and more than once.
     *
     * @return completed when the VM has ended, with whether no request was cut off
     */
    public CompletableFuture<Boolean> drain() {
        eventloop.execute(this::startDraining);
        return ended;
    }

    /**
     * Waits until the VM has ended.
     *
     * @return whether no request was cut off
     */
    public boolean awaitEnd() {
        return ended.join();
    }

    /**
     * Returns whether the VM takes new work.
     *
     * @return the readiness
     */
    public Readiness readiness() {
        return readiness;
    }

    /** Opens the listeners and starts the parts. */
    private void listen() {
        try {
            callerServer.listen();
            operatorServer.listen();
        } catch (IOException exception) {
            throw new UncheckedIOException(exception);
        }
        fleetReader.start();
        readiness = Readiness.READY;
        LOGGER.log(Logger.Level.INFO, "entry VM of zone {0} listens", settings.zone());
    }

    /** Stops taking new work and ends once no request is in flight. */
    private void startDraining() {
        if (readiness == Readiness.DRAINING) {
            return;
        }
        readiness = Readiness.DRAINING;
        callerServlet.startDraining();
        Promises.timeout(settings.drainTimeoutMillis(), callerServlet.whenIdle())
                .whenComplete(() -> end(callerServlet.inFlight() == 0));
    }

    /**
     * Closes the listeners and ends the event loop.
     *
     * @param clean whether no request was cut off
     */
    private void end(boolean clean) {
        fleetReader.stop();
        Promises.all(callerServer.close(), operatorServer.close(), client.stop())
                .whenComplete(
                        () -> {
                            eventloop.keepAlive(false);
                            eventloop.breakEventloop();
                            ended.complete(clean);
                        });
    }

    /**
     * Makes the routes of the callers' listener.
     *
     * @return the routes
     */
    private RoutingServlet callerRoutes() {
        return HealthServlets.create(eventloop, this::readiness);
    }

    /**
     * Makes the routes of the operators' listener.
     *
     * @return the routes
     */
    private RoutingServlet operatorRoutes() {
        return RoutingServlet.builder(eventloop)
                .with(HttpMethod.GET, "/metrics", new MetricsServlet(metrics.registry()))
                .merge(HealthServlets.create(eventloop, this::readiness))
                .build();
    }

    /**
     * Makes a listener.
     *
     * @param address the address to listen on
     * @param servlet the servlet
     * @return the listener, not yet open
     */
    private HttpServer server(InetSocketAddress address, io.activej.http.AsyncServlet servlet) {
        return HttpServer.builder(eventloop, servlet)
                .withListenAddress(address)
                .withMaxBodySize(settings.maximumBodyBytes())
                .withHttpErrorFormatter(exception -> Promise.of(JsonResponses.error(exception)))
                .build();
    }

    /**
     * Writes an address as text.
     *
     * @param address the address
     * @return the IP number and port
     */
    private static String text(InetSocketAddress address) {
        return address.getAddress().getHostAddress() + ":" + address.getPort();
    }
}
