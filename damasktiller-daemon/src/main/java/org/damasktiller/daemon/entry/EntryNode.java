package org.damasktiller.daemon.entry;

import io.activej.eventloop.Eventloop;
import io.activej.http.AsyncServlet;
import io.activej.http.HttpServer;
import io.activej.promise.Promise;
import io.activej.promise.Promises;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.lang.System.Logger;
import java.net.InetSocketAddress;
import java.util.concurrent.CompletableFuture;
import org.damasktiller.daemon.http.HttpListener;
import org.damasktiller.daemon.http.ListenerLimits;
import org.damasktiller.daemon.settings.EntrySettings;
import org.damasktiller.platform.http.EventLoops;

/** One entry VM as it runs: its event loop, its listeners and its shutdown. */
public final class EntryNode {

    /** The log. */
    private static final Logger LOGGER = System.getLogger(EntryNode.class.getName());

    /** How long a caller may take to send a request or to read a response, in milliseconds. */
    private static final long MESSAGE_MILLIS = 60_000;

    /** How long a connection is kept for the caller's next request, in milliseconds. */
    private static final long IDLE_MILLIS = 30_000;

    /** The largest number of connections of a listener. */
    private static final int MAXIMUM_CONNECTIONS = 20_000;

    /** The settings. */
    private final EntrySettings settings;

    /** The event loop that does the I/O. */
    private final Eventloop eventloop;

    /** The parts of the VM. */
    private final EntryParts parts;

    /** The callers' requests. */
    private final DrainableServlet callerServlet;

    /** The callers' listener. */
    private final HttpServer callerServer;

    /** The operators' listener. */
    private final HttpServer operatorServer;

    /** Completed when the VM has ended, with whether no request was cut off. */
    private final CompletableFuture<Boolean> ended = new CompletableFuture<>();

    /**
     * Creates the listeners.
     *
     * @param settings the settings
     * @param eventloop the event loop
     */
    private EntryNode(EntrySettings settings, Eventloop eventloop) {
        this.settings = settings;
        this.eventloop = eventloop;
        parts = new EntryParts(settings, eventloop);
        EntryRoutes routes = new EntryRoutes(parts, this::startDraining);
        callerServlet = new DrainableServlet(routes.callers());
        parts.setInFlight(callerServlet::inFlight);
        callerServer = server(settings.address(), callerServlet);
        operatorServer = server(settings.operatorAddress(), routes.operators());
    }

    /**
     * Starts an entry VM on a thread of its own.
     *
     * @param settings the checked settings
     * @return the running VM
     */
    public static EntryNode start(EntrySettings settings) {
        Eventloop eventloop = EventLoops.create();
        Thread thread = new Thread(eventloop, "entry " + settings.zone());
        thread.start();
        return eventloop
                .submit(
                        () -> {
                            EntryNode node = new EntryNode(settings, eventloop);
                            return node.listen().map(ignored -> node);
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
     * Returns the name of the VM in the platform's list.
     *
     * @return the IP number and port for other entry VMs
     */
    public String name() {
        return parts.self().value();
    }

    /**
     * Returns the address on which callers are served.
     *
     * @return the IP number and port
     */
    public String callerAddress() {
        return Addresses.text(callerServer.getBoundAddresses().get(0));
    }

    /**
     * Returns the address on which operators are served.
     *
     * @return the IP number and port
     */
    public String operatorAddress() {
        return Addresses.text(operatorServer.getBoundAddresses().get(0));
    }

    /**
     * Opens the listeners and starts the parts.
     *
     * @return completed when the VM takes work
     */
    private Promise<Void> listen() {
        try {
            callerServer.listen();
            operatorServer.listen();
        } catch (IOException exception) {
            throw new UncheckedIOException(exception);
        }
        LOGGER.log(
                Logger.Level.INFO,
                "entry VM of zone {0} serves callers on {1} and operators on {2}",
                settings.zone(),
                callerAddress(),
                operatorAddress());
        return parts.start();
    }

    /** Stops taking new work, hands over, and ends once no request is in flight. */
    private void startDraining() {
        if (parts.readiness() == Readiness.DRAINING) {
            return;
        }
        callerServlet.startDraining();
        Promise<Void> handedOver = parts.startDraining();
        Promise<Void> idle =
                Promises.delay(eventloop, settings.drainNoticeMillis())
                        .then(callerServlet::whenIdle);
        Promises.timeout(eventloop, settings.drainTimeoutMillis(), Promises.all(handedOver, idle))
                .whenComplete(() -> end(callerServlet.inFlight() == 0));
    }

    /**
     * Closes the listeners and ends the event loop.
     *
     * @param clean whether no request was cut off
     */
    private void end(boolean clean) {
        LOGGER.log(
                Logger.Level.INFO, "drained with {0} requests in flight", callerServlet.inFlight());
        Promises.all(callerServer.close(), operatorServer.close(), parts.stop())
                .whenComplete(
                        () -> {
                            eventloop.keepAlive(false);
                            eventloop.breakEventloop();
                            ended.complete(clean);
                        });
    }

    /**
     * Makes a listener.
     *
     * @param address the address to listen on
     * @param servlet the servlet
     * @return the listener, not yet open
     */
    private HttpServer server(InetSocketAddress address, AsyncServlet servlet) {
        ListenerLimits limits =
                new ListenerLimits(
                        settings.maximumBodyBytes(),
                        MESSAGE_MILLIS,
                        IDLE_MILLIS,
                        MAXIMUM_CONNECTIONS);
        return HttpListener.builder(eventloop, servlet, address, limits).build();
    }
}
