package org.damasktiller.node.process;

import io.activej.eventloop.Eventloop;
import io.activej.http.AsyncServlet;
import io.activej.http.HttpServer;
import java.net.InetSocketAddress;
import java.time.Duration;
import org.damasktiller.node.intake.ConnectionLimiter;
import org.damasktiller.node.intake.Intake;

/** Creates the HTTP servers of a process, which do not listen yet. */
final class HttpServers {

    /** How long an idle connection is kept open, in milliseconds. */
    private static final long CONNECTION_IDLE_TIMEOUT_MILLIS = 30_000;

    /** The timeout for reading a request or writing a response, in milliseconds. */
    private static final long READ_WRITE_TIMEOUT_MILLIS = 10_000;

    /** The event loop of the servers. */
    private final Eventloop eventloop;

    /**
     * Creates a factory.
     *
     * @param eventloop the event loop of the servers
     */
    HttpServers(Eventloop eventloop) {
        this.eventloop = eventloop;
    }

    /**
     * Creates a server.
     *
     * @param handler handles the requests
     * @param address the address to listen on
     * @return the server
     */
    HttpServer create(AsyncServlet handler, InetSocketAddress address) {
        return newBuilder(handler, address).build();
    }

    /**
     * Creates a server for callers, whose connections and requests are bounded.
     *
     * @param handler handles the requests
     * @param address the address to listen on
     * @param intake bounds what callers make the process hold
     * @return the server
     */
    HttpServer createForCallers(AsyncServlet handler, InetSocketAddress address, Intake intake) {
        ConnectionLimiter connections = intake.connections();
        HttpServer server =
                intake.heads()
                        .observe(newBuilder(handler, address))
                        .withAcceptFilter(
                                (channel, local, remote, encrypted) -> connections.refusesNext())
                        .build();
        connections.count(server::getConnectionsCount);
        return server;
    }

    /**
     * Creates a builder of a server.
     *
     * @param handler handles the requests
     * @param address the address to listen on
     * @return the builder
     */
    private HttpServer.Builder newBuilder(AsyncServlet handler, InetSocketAddress address) {
        return HttpServer.builder(eventloop, handler)
                .withListenAddress(address)
                .withKeepAliveTimeout(Duration.ofMillis(CONNECTION_IDLE_TIMEOUT_MILLIS))
                .withReadWriteTimeout(Duration.ofMillis(READ_WRITE_TIMEOUT_MILLIS));
    }
}
