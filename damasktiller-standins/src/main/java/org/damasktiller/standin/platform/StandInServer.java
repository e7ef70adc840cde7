package org.damasktiller.standin.platform;

import io.activej.eventloop.Eventloop;
import io.activej.http.AsyncServlet;
import io.activej.http.HttpServer;
import io.activej.promise.Promise;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import java.util.function.Function;
import org.damasktiller.platform.http.EventLoops;
import org.damasktiller.standin.http.JsonResponses;

/** Runs one stand-in HTTP server on an event loop and thread of its own. */
public final class StandInServer implements AutoCloseable {

    /** How long a peer may take to send a request or to read an answer. */
    private static final Duration READ_WRITE_TIMEOUT = Duration.ofSeconds(30);

    /** How long the requests in flight may take when the server is closed. */
    private static final Duration CLOSE_TIMEOUT = Duration.ofMillis(50);

    /** The event loop. */
    private final Eventloop eventloop;

    /** The server. */
    private final HttpServer server;

    /** The thread of the event loop. */
    private final Thread thread;

    /**
     * Creates a server.
     *
     * @param eventloop the event loop
     * @param server the server
     * @param thread the thread of the event loop
     */
    private StandInServer(Eventloop eventloop, HttpServer server, Thread thread) {
        this.eventloop = eventloop;
        this.server = server;
        this.thread = thread;
    }

    /**
     * Starts a server.
     *
     * @param name the name of the thread
     * @param address the address to listen on; port 0 takes a free port
     * @param servlet makes the servlet for the server's event loop
     * @return the running server
     * @throws UncheckedIOException if the address can't be listened on
     */
    public static StandInServer start(
            String name, InetSocketAddress address, Function<Eventloop, AsyncServlet> servlet) {
        Eventloop eventloop = EventLoops.create();
        HttpServer server =
                HttpServer.builder(eventloop, servlet.apply(eventloop))
                        .withListenAddress(address)
                        .withReadWriteTimeout(READ_WRITE_TIMEOUT, CLOSE_TIMEOUT)
                        .withServeTimeoutShutdown(CLOSE_TIMEOUT)
                        .withHttpErrorFormatter(
                                exception -> Promise.of(JsonResponses.error(exception)))
                        .build();
        Thread thread = new Thread(eventloop, name);
        thread.setDaemon(true);
        thread.start();
        eventloop.submit(() -> listen(server)).join();
        return new StandInServer(eventloop, server, thread);
    }

    /**
     * Returns the address on which the server listens.
     *
     * @return the IP address and port
     */
    public String address() {
        InetSocketAddress bound = server.getBoundAddresses().get(0);
        return bound.getAddress().getHostAddress() + ":" + bound.getPort();
    }

    /**
     * Runs something on the server's event loop and waits for it.
     *
     * @param action what to run
     */
    public void run(Runnable action) {
        eventloop.submit(action::run).join();
    }

    /** Closes the server and waits until its thread has ended. */
    @Override
    public void close() {
        CompletableFuture<?> closed = eventloop.submit(server::close);
        closed.join();
        eventloop.execute(() -> eventloop.keepAlive(false));
        eventloop.execute(eventloop::breakEventloop);
        try {
            thread.join();
        } catch (InterruptedException exception) {
            Thread.currentThread().interrupt();
        }
    }

    /**
     * Starts to listen.
     *
     * @param server the server
     */
    private static void listen(HttpServer server) {
        try {
            server.listen();
        } catch (IOException exception) {
            throw new UncheckedIOException(exception);
        }
    }
}
