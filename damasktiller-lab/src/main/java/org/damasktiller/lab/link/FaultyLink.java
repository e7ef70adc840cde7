package org.damasktiller.lab.link;

import io.activej.net.SimpleServer;
import io.activej.net.socket.tcp.ITcpSocket;
import io.activej.net.socket.tcp.TcpSocket;
import io.activej.reactor.nio.NioReactor;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;

/**
 * A TCP proxy that injects network faults between clients and one server. A change of its state
 * affects new connections as well as open ones. Not thread-safe: all methods must be called on the
 * reactor's thread.
 */
public final class FaultyLink {

    /** The interval at which held bytes are checked for release, in milliseconds. */
    private static final long POLL_INTERVAL_MILLIS = 20;

    /** The event loop that performs the I/O and runs the timers. */
    private final NioReactor reactor;

    /** The address of the server to which connections are forwarded. */
    private final InetSocketAddress target;

    /** Accepts the connections of clients. */
    private final SimpleServer listener;

    /** The open connections that the link forwards. */
    private final List<ProxiedConnection> connections = new ArrayList<>();

    /** How the link forwards bytes. */
    private LinkState state = LinkState.OPEN;

    /** The delay of each chunk of bytes while the state is SLOW, in milliseconds. */
    private long delayMillis;

    /** Whether new connections are closed immediately. */
    private boolean refusing;

    /**
     * Creates a link that listens on a free loopback port.
     *
     * @param reactor the event loop that performs the I/O and runs the timers
     * @param target the address of the server to which connections are forwarded
     */
    public FaultyLink(NioReactor reactor, InetSocketAddress target) {
        this.reactor = reactor;
        this.target = target;
        listener =
                SimpleServer.builder(reactor, this::accept)
                        .withListenAddress(
                                new InetSocketAddress(InetAddress.getLoopbackAddress(), 0))
                        .build();
        try {
            listener.listen();
        } catch (IOException exception) {
            throw new UncheckedIOException(exception);
        }
    }

    /**
     * Returns the address on which the link listens.
     *
     * @return the loopback address that clients connect to
     */
    public InetSocketAddress address() {
        return listener.getBoundAddresses().get(0);
    }

    /**
     * Changes how the link forwards bytes, also on open connections.
     *
     * @param newState the new state
     * @param newDelayMillis the delay of each chunk of bytes while the state is SLOW, in
     *     milliseconds; unused in other states
     */
    public void setState(LinkState newState, long newDelayMillis) {
        state = newState;
        delayMillis = newDelayMillis;
    }

    /** Closes both sides of all open connections. New connections still work. */
    public void closeConnections() {
        new ArrayList<>(connections).forEach(ProxiedConnection::close);
    }

    /**
     * Stalls the open connections permanently: they stay open but forward no more bytes. New
     * connections still work.
     */
    public void stallConnections() {
        connections.forEach(connection -> connection.stalled = true);
    }

    /**
     * Sets whether new connections are refused. Refusing also closes the open connections.
     *
     * @param value true to refuse new connections, false to accept them again
     */
    public void setRefusing(boolean value) {
        refusing = value;
        if (value) {
            closeConnections();
        }
    }

    /**
     * Forwards a new connection to the server, or closes it if connections are refused or the
     * server cannot be reached.
     *
     * @param client the socket of the client
     */
    private void accept(ITcpSocket client) {
        if (refusing) {
            client.close();
            return;
        }
        TcpSocket.connect(reactor, target)
                .whenResult(server -> new ProxiedConnection(client, server).start())
                .whenException(exception -> client.close());
    }

    /** A connection between a client and the server that the link forwards. */
    private final class ProxiedConnection {

        /** The socket of the client. */
        private final ITcpSocket client;

        /** The socket of the server. */
        private final ITcpSocket server;

        /** Whether the connection is stalled permanently. */
        private boolean stalled;

        /** Whether both sockets have been closed. */
        private boolean closed;

        /**
         * Creates a connection that does not forward bytes yet.
         *
         * @param client the socket of the client
         * @param server the socket of the server
         */
        ProxiedConnection(ITcpSocket client, ITcpSocket server) {
            this.client = client;
            this.server = server;
        }

        /** Starts to forward bytes in both directions. */
        void start() {
            connections.add(this);
            forward(client, server, LinkState.REQUESTS_HELD);
            forward(server, client, LinkState.ANSWERS_HELD);
        }

        /** Closes both sockets. Repeated calls have no effect. */
        void close() {
            if (!closed) {
                closed = true;
                connections.remove(this);
                client.close();
                server.close();
            }
        }

        /**
         * Forwards the bytes of one direction until the sender closes the connection or an error
         * occurs.
         *
         * @param from the socket to read from
         * @param to the socket to write to
         * @param holdingState the state that holds the bytes of this direction
         */
        private void forward(ITcpSocket from, ITcpSocket to, LinkState holdingState) {
            from.read()
                    .whenComplete(
                            (bytes, error) -> {
                                if (error != null || bytes == null) {
                                    runWhenReleased(holdingState, this::close);
                                    return;
                                }
                                runWhenReleased(
                                        holdingState,
                                        () ->
                                                to.write(bytes)
                                                        .whenResult(
                                                                () ->
                                                                        forward(
                                                                                from,
                                                                                to,
                                                                                holdingState))
                                                        .whenException(this::close));
                            });
        }

        /**
         * Runs an action once this direction is not held, after the delay of a slow link. A closed
         * connection drops the action.
         *
         * @param holdingState the state that holds the bytes of this direction
         * @param action the action that forwards bytes or the end of the stream
         */
        private void runWhenReleased(LinkState holdingState, Runnable action) {
            if (closed) {
                return;
            }
            if (stalled || state == LinkState.HELD || state == holdingState) {
                reactor.delay(POLL_INTERVAL_MILLIS, () -> runWhenReleased(holdingState, action));
            } else if (state == LinkState.SLOW) {
                reactor.delay(delayMillis, action);
            } else {
                action.run();
            }
        }
    }
}
