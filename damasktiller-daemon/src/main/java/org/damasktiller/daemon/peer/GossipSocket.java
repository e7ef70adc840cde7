package org.damasktiller.daemon.peer;

import io.activej.bytebuf.ByteBuf;
import io.activej.net.socket.udp.UdpPacket;
import io.activej.net.socket.udp.UdpSocket;
import io.activej.promise.Promise;
import io.activej.reactor.net.DatagramSocketSettings;
import io.activej.reactor.nio.NioReactor;
import java.io.IOException;
import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.net.InetSocketAddress;
import org.damasktiller.error.DamasktillerException;
import org.damasktiller.identity.VmId;
import org.damasktiller.membership.GossipCodec;
import org.damasktiller.membership.GossipMessage;
import org.jspecify.annotations.Nullable;

/**
 * Sends and receives gossip over UDP. A datagram is refused if it is not a message of this cluster
 * and zone, or if its sender is not the address from which it came. Belongs to one reactor thread.
 */
final class GossipSocket {

    /** The log. */
    private static final Logger LOGGER = System.getLogger(GossipSocket.class.getName());

    /** The runtime that does the I/O. */
    private final NioReactor reactor;

    /** The address to bind. */
    private final InetSocketAddress address;

    /** Converts the messages. */
    private final GossipCodec codec;

    /** Told of each message. */
    private final Receiver receiver;

    /** The socket, or null while it is not open. */
    private @Nullable UdpSocket socket;

    /** The datagrams refused. */
    private long refused;

    /**
     * Creates a socket that is not open.
     *
     * @param reactor the runtime that does the I/O
     * @param address the address to bind
     * @param codec converts the messages
     * @param receiver told of each message
     */
    GossipSocket(
            NioReactor reactor, InetSocketAddress address, GossipCodec codec, Receiver receiver) {
        this.reactor = reactor;
        this.address = address;
        this.codec = codec;
        this.receiver = receiver;
    }

    /**
     * Opens the socket and starts to receive.
     *
     * @return a promise completed when the socket is open
     */
    Promise<Void> open() {
        try {
            return UdpSocket.connect(
                            reactor,
                            NioReactor.createDatagramChannel(
                                    DatagramSocketSettings.create(), address, null))
                    .whenResult(this::start)
                    .toVoid();
        } catch (IOException e) {
            return Promise.ofException(e);
        }
    }

    /**
     * Sends a message; it may be lost.
     *
     * @param to the receiver
     * @param message the message
     */
    void send(VmId to, GossipMessage message) {
        UdpSocket open = socket;
        if (open != null && open.isOpen() && PeerAddresses.valid(to)) {
            ByteBuf bytes = ByteBuf.wrapForReading(codec.encode(message));
            open.send(UdpPacket.of(bytes, PeerAddresses.address(to)));
        }
    }

    /** Closes the socket. */
    void close() {
        if (socket != null) {
            socket.close();
            socket = null;
        }
    }

    /**
     * Returns how many datagrams were refused.
     *
     * @return the number of datagrams
     */
    long refused() {
        return refused;
    }

    /**
     * Starts to receive.
     *
     * @param opened the socket
     */
    private void start(UdpSocket opened) {
        socket = opened;
        receive(opened);
    }

    /**
     * Receives the next datagram, until the socket is closed.
     *
     * @param from the socket
     */
    private void receive(UdpSocket from) {
        from.receive()
                .whenResult(
                        packet -> {
                            handle(packet);
                            receive(from);
                        });
    }

    /**
     * Takes in a datagram.
     *
     * @param packet the datagram
     */
    private void handle(UdpPacket packet) {
        InetSocketAddress source = packet.getSocketAddress();
        byte[] bytes = packet.getBuf().asArray();
        try {
            GossipMessage message = codec.decode(bytes, source.toString());
            boolean valid = PeerAddresses.valid(message.sender());
            if (valid && PeerAddresses.address(message.sender()).equals(source)) {
                receiver.receive(message, bytes.length);
                return;
            }
        } catch (DamasktillerException e) {
            LOGGER.log(Level.DEBUG, "refused datagram", e);
        }
        refused++;
    }

    /** Takes in messages. */
    interface Receiver {

        /**
         * Takes in a message.
         *
         * @param message the message
         * @param bytes its size, without headers
         */
        void receive(GossipMessage message, int bytes);
    }
}
