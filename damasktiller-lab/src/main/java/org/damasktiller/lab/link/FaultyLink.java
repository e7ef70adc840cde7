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
 * A proxy in front of one server. Its state holds for all connections, also for those that are
 * open. Used on its reactor's thread.
 */
public final class FaultyLink {

    /** The time between two looks of bytes that are held back, in milliseconds. */
    private static final long POLL_MILLIS = 20;

    /** The reactor. */
    private final NioReactor reactor;

    /** The address of the server. */
    private final InetSocketAddress target;

    /** Accepts connections. */
    private final SimpleServer listener;

    /** The open connections. */
    private final List<Crossing> crossings = new ArrayList<>();

    /** What the link does. */
    private LinkState state = LinkState.OPEN;

    /** The delay of a slow link, in milliseconds. */
    private long delayMillis;

    /** Whether new connections are reset. */
    private boolean refusing;

    /**
     * Creates a link on a free port.
     *
     * @param reactor the reactor
     * @param target the address of the server
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
     * Returns where the link listens.
     *
     * @return the address
     */
    public InetSocketAddress address() {
        return listener.getBoundAddresses().get(0);
    }

    /**
     * Changes what the link does.
     *
     * @param next the state
     * @param nextDelayMillis the delay of a slow link, in milliseconds
     */
    public void set(LinkState next, long nextDelayMillis) {
        state = next;
        delayMillis = nextDelayMillis;
    }

    /** Resets the open connections. */
    public void reset() {
        new ArrayList<>(crossings).forEach(Crossing::close);
    }

    /** Makes the open connections go silent for good; new ones work. */
    public void silence() {
        crossings.forEach(crossing -> crossing.silent = true);
    }

    /**
     * Begins or ends to reset new connections.
     *
     * @param value whether to
     */
    public void refuse(boolean value) {
        refusing = value;
        if (value) {
            reset();
        }
    }

    /**
     * Takes a connection.
     *
     * @param client the client's side
     */
    private void accept(ITcpSocket client) {
        if (refusing) {
            client.close();
            return;
        }
        TcpSocket.connect(reactor, target)
                .whenResult(server -> new Crossing(client, server).start())
                .whenException(exception -> client.close());
    }

    /** One connection through the link. */
    private final class Crossing {

        /** The client's side. */
        private final ITcpSocket client;

        /** The server's side. */
        private final ITcpSocket server;

        /** Whether it has gone silent for good. */
        private boolean silent;

        /** Whether it is closed. */
        private boolean closed;

        /**
         * Creates a connection.
         *
         * @param client the client's side
         * @param server the server's side
         */
        Crossing(ITcpSocket client, ITcpSocket server) {
            this.client = client;
            this.server = server;
        }

        /** Begins to pass bytes on. */
        void start() {
            crossings.add(this);
            pump(client, server, LinkState.REQUESTS_HELD);
            pump(server, client, LinkState.ANSWERS_HELD);
        }

        /** Closes both sides. */
        void close() {
            if (!closed) {
                closed = true;
                crossings.remove(this);
                client.close();
                server.close();
            }
        }

        /**
         * Passes on what one side sends.
         *
         * @param from the side that sends
         * @param to the other side
         * @param holding the state that holds this direction back
         */
        private void pump(ITcpSocket from, ITcpSocket to, LinkState holding) {
            from.read()
                    .whenComplete(
                            (bytes, error) -> {
                                if (error != null || bytes == null) {
                                    pass(holding, this::close);
                                    return;
                                }
                                pass(
                                        holding,
                                        () ->
                                                to.write(bytes)
                                                        .whenResult(() -> pump(from, to, holding))
                                                        .whenException(this::close));
                            });
        }

        /**
         * Does something once the link lets bytes pass.
         *
         * @param holding the state that holds this direction back
         * @param action what to do
         */
        private void pass(LinkState holding, Runnable action) {
            if (closed) {
                return;
            }
            if (silent || state == LinkState.HELD || state == holding) {
                reactor.delay(POLL_MILLIS, () -> pass(holding, action));
            } else if (state == LinkState.SLOW) {
                reactor.delay(delayMillis, action);
            } else {
                action.run();
            }
        }
    }
}
