package org.damasktiller.daemon.peer;

import io.activej.bytebuf.ByteBuf;
import io.activej.net.socket.tcp.ITcpSocket;
import io.activej.reactor.Reactor;
import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.net.InetAddress;
import java.util.function.BiConsumer;
import org.damasktiller.error.DamasktillerException;
import org.damasktiller.identity.VmId;
import org.damasktiller.peer.PeerCodec;
import org.damasktiller.peer.PeerMessage;
import org.jspecify.annotations.Nullable;

/**
 * Receives the messages of one connection, and confirms each with an empty frame so that the sender
 * notices a connection that has gone silent. Belongs to one reactor thread.
 */
final class PeerReceiver {

    /** The log. */
    private static final Logger LOGGER = System.getLogger(PeerReceiver.class.getName());

    /** The largest first frame, in bytes. */
    private static final int MAXIMUM_HELLO_BYTES = 1_000;

    /** How long a connection may be without a frame, in milliseconds. */
    private static final long IDLE_MILLIS = 60_000;

    /** How long a peer may take to introduce itself, in milliseconds. */
    private static final long HELLO_MILLIS = 3_000;

    /** The frame that confirms a message. */
    private static final byte[] CONFIRMATION = {};

    /** The runtime. */
    private final Reactor reactor;

    /** The connection. */
    private final ITcpSocket socket;

    /** The IP number of the peer. */
    private final InetAddress remote;

    /** Whom this node accepts. */
    private final PeerIdentity identity;

    /** Told of each message with its sender. */
    private final BiConsumer<VmId, PeerMessage> handler;

    /** Splits the stream. */
    private final FrameReader frames = new FrameReader(MAXIMUM_HELLO_BYTES);

    /** The peer, or null until it introduced itself. */
    private @Nullable VmId peer;

    /** When the latest frame came, in milliseconds. */
    private long lastFrameMillis;

    /** Whether the connection is closed. */
    private boolean closed;

    /**
     * Creates a receiver.
     *
     * @param reactor the runtime
     * @param socket the connection
     * @param remote the IP number of the peer
     * @param identity whom this node accepts
     * @param handler told of each message with its sender
     */
    PeerReceiver(
            Reactor reactor,
            ITcpSocket socket,
            InetAddress remote,
            PeerIdentity identity,
            BiConsumer<VmId, PeerMessage> handler) {
        this.reactor = reactor;
        this.socket = socket;
        this.remote = remote;
        this.identity = identity;
        this.handler = handler;
    }

    /** Starts to receive. */
    void start() {
        lastFrameMillis = reactor.currentTimeMillis();
        read();
    }

    /**
     * Closes the connection if it has been silent for too long.
     *
     * @param nowMillis the time, in milliseconds
     * @return whether the connection is closed
     */
    boolean closeIfIdle(long nowMillis) {
        long limit = peer == null ? HELLO_MILLIS : IDLE_MILLIS;
        if (nowMillis - lastFrameMillis >= limit) {
            close();
        }
        return closed;
    }

    /** Closes the connection. */
    void close() {
        if (!closed) {
            closed = true;
            frames.recycle();
            socket.close();
        }
    }

    /** Reads until the connection ends. */
    private void read() {
        socket.read()
                .subscribe(
                        (buffer, e) -> {
                            if (buffer == null || closed) {
                                close();
                                return;
                            }
                            take(buffer);
                            if (!closed) {
                                read();
                            }
                        });
    }

    /**
     * Takes in received bytes.
     *
     * @param buffer the bytes
     */
    private void take(ByteBuf buffer) {
        frames.add(buffer);
        try {
            byte[] frame = frames.next(remote.getHostAddress());
            while (frame != null) {
                lastFrameMillis = reactor.currentTimeMillis();
                handle(frame);
                frame = frames.next(remote.getHostAddress());
            }
        } catch (DamasktillerException e) {
            LOGGER.log(Level.WARNING, "closed the connection of a peer: {0}", e.getMessage());
            close();
        }
    }

    /**
     * Takes in one frame.
     *
     * @param frame the frame
     */
    private void handle(byte[] frame) {
        PeerMessage message = PeerCodec.decode(frame, remote.getHostAddress());
        VmId sender = peer;
        if (sender == null) {
            if (!(message instanceof PeerMessage.Hello hello)) {
                throw PeerCodec.error(remote.getHostAddress(), "message before hello", null);
            }
            identity.check(hello, remote);
            peer = hello.sender();
            frames.setMaximumBytes(PeerCodec.MAXIMUM_BYTES);
        } else {
            handler.accept(sender, message);
        }
        socket.write(FrameReader.frame(CONFIRMATION));
    }
}
