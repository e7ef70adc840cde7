package org.damasktiller.daemon.peer;

import io.activej.net.SimpleServer;
import io.activej.net.socket.tcp.ITcpSocket;
import io.activej.net.socket.tcp.TcpSocket;
import io.activej.promise.Promise;
import io.activej.reactor.nio.NioReactor;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.BiConsumer;
import org.damasktiller.identity.VmId;
import org.damasktiller.peer.PeerMessage;

/**
 * Sends and receives messages between entry VMs over TCP. A connection carries messages one way and
 * confirmations the other. Belongs to one reactor thread.
 */
final class PeerTransport {

    /** The most connections accepted at once. */
    private static final int MAXIMUM_CONNECTIONS = 1_000;

    /** The runtime that does the I/O. */
    private final NioReactor reactor;

    /** Who this node is and whom it accepts. */
    private final PeerIdentity identity;

    /** Told of each message with its sender. */
    private final BiConsumer<VmId, PeerMessage> handler;

    /** The listener. */
    private final SimpleServer server;

    /** The senders by peer. */
    private final Map<VmId, PeerSender> senders = new HashMap<>();

    /** The accepted connections. */
    private final List<PeerReceiver> receivers = new ArrayList<>();

    /**
     * Creates a transport that does not listen.
     *
     * @param reactor the runtime that does the I/O
     * @param address the address to listen on
     * @param identity who this node is and whom it accepts
     * @param handler told of each message with its sender
     */
    PeerTransport(
            NioReactor reactor,
            InetSocketAddress address,
            PeerIdentity identity,
            BiConsumer<VmId, PeerMessage> handler) {
        this.reactor = reactor;
        this.identity = identity;
        this.handler = handler;
        this.server =
                SimpleServer.builder(reactor, this::accept).withListenAddress(address).build();
    }

    /**
     * Starts to listen.
     *
     * @return a promise that fails if the address cannot be bound
     */
    Promise<Void> listen() {
        try {
            server.listen();
            return Promise.complete();
        } catch (IOException e) {
            return Promise.ofException(e);
        }
    }

    /**
     * Sends a message; it may be lost if the connection fails.
     *
     * @param to the receiver
     * @param message the message
     */
    void send(VmId to, PeerMessage message) {
        if (PeerAddresses.valid(to)) {
            senders.computeIfAbsent(
                            to, id -> new PeerSender(reactor, PeerAddresses.address(id), identity))
                    .send(message);
        }
    }

    /**
     * Gives up connections that are silent or unused.
     *
     * @param nowMillis the time, in milliseconds
     */
    void onTick(long nowMillis) {
        senders.values().removeIf(sender -> sender.onTick(nowMillis));
        receivers.removeIf(receiver -> receiver.closeIfIdle(nowMillis));
    }

    /**
     * Stops to listen and closes all connections.
     *
     * @return a promise completed when the listener is closed
     */
    Promise<Void> close() {
        senders.values().forEach(PeerSender::close);
        senders.clear();
        receivers.forEach(PeerReceiver::close);
        receivers.clear();
        return server.close().toVoid();
    }

    /**
     * Accepts a connection.
     *
     * @param socket the connection
     */
    private void accept(ITcpSocket socket) {
        if (receivers.size() >= MAXIMUM_CONNECTIONS || !(socket instanceof TcpSocket accepted)) {
            socket.close();
            return;
        }
        PeerReceiver receiver =
                new PeerReceiver(
                        reactor,
                        accepted,
                        accepted.getRemoteAddress().getAddress(),
                        identity,
                        handler);
        receivers.add(receiver);
        receiver.start();
    }
}
