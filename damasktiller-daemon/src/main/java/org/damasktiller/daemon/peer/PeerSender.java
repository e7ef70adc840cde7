package org.damasktiller.daemon.peer;

import io.activej.net.socket.tcp.TcpSocket;
import io.activej.reactor.net.SocketSettings;
import io.activej.reactor.nio.NioReactor;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;
import org.damasktiller.error.DamasktillerException;
import org.damasktiller.peer.PeerCodec;
import org.damasktiller.peer.PeerMessage;
import org.jspecify.annotations.Nullable;

/**
 * Sends messages to one peer over one connection, which is opened when needed and given up when a
 * message is not confirmed in time. Messages that were not confirmed are dropped then: each of them
 * is repeated or repaired by the parts that sent it. Belongs to one reactor thread.
 */
final class PeerSender {

    /** How long opening a connection may take. */
    private static final Duration CONNECT_TIMEOUT = Duration.ofSeconds(2);

    /** How long a confirmation may take, in milliseconds. */
    private static final long CONFIRM_MILLIS = 4_000;

    /** How long an unused connection is kept, in milliseconds. */
    private static final long IDLE_MILLIS = 30_000;

    /** The most messages that wait for a confirmation. */
    private static final int MAXIMUM_WAITING = 256;

    /** The runtime that does the I/O. */
    private final NioReactor reactor;

    /** The address of the peer. */
    private final InetSocketAddress address;

    /** Who this node is. */
    private final PeerIdentity identity;

    /** The frames that wait for the connection. */
    private final Deque<byte[]> waiting = new ArrayDeque<>();

    /** When the messages were sent that were not confirmed yet, in milliseconds. */
    private final Deque<Long> unconfirmed = new ArrayDeque<>();

    /** The connection, or null if it is not open. */
    private @Nullable TcpSocket socket;

    /** Whether the connection is being opened. */
    private boolean connecting;

    /** Whether a write is under way. */
    private boolean writing;

    /** When the connection was last used, in milliseconds. */
    private long lastUseMillis;

    /** The messages dropped. */
    private long dropped;

    /**
     * Creates a sender without a connection.
     *
     * @param reactor the runtime that does the I/O
     * @param address the address of the peer
     * @param identity who this node is
     */
    PeerSender(NioReactor reactor, InetSocketAddress address, PeerIdentity identity) {
        this.reactor = reactor;
        this.address = address;
        this.identity = identity;
    }

    /**
     * Sends a message.
     *
     * @param message the message
     */
    void send(PeerMessage message) {
        lastUseMillis = reactor.currentTimeMillis();
        if (waiting.size() + unconfirmed.size() >= MAXIMUM_WAITING) {
            dropped++;
            return;
        }
        waiting.add(PeerCodec.encode(message));
        if (socket == null) {
            connect();
        } else {
            write();
        }
    }

    /**
     * Gives up a connection that has gone silent or was not used for long.
     *
     * @param nowMillis the time, in milliseconds
     * @return whether there is neither a connection nor a message
     */
    boolean onTick(long nowMillis) {
        Long oldest = unconfirmed.peek();
        boolean silent = oldest != null && nowMillis - oldest >= CONFIRM_MILLIS;
        boolean idle = nowMillis - lastUseMillis >= IDLE_MILLIS;
        if (silent || idle) {
            giveUp();
        }
        return idle && !connecting;
    }

    /** Closes the connection. */
    void close() {
        giveUp();
    }

    /**
     * Returns how many messages were dropped.
     *
     * @return the number of messages
     */
    long dropped() {
        return dropped;
    }

    /** Opens the connection. */
    private void connect() {
        if (connecting) {
            return;
        }
        connecting = true;
        TcpSocket.connect(reactor, address, CONNECT_TIMEOUT, SocketSettings.create())
                .subscribe(
                        (opened, e) -> {
                            connecting = false;
                            if (opened == null) {
                                giveUp();
                                return;
                            }
                            socket = opened;
                            waiting.addFirst(PeerCodec.encode(identity.hello()));
                            readConfirmations(opened, new FrameReader(0));
                            write();
                        });
    }

    /** Writes the frames that wait, one at a time. */
    private void write() {
        TcpSocket open = socket;
        if (open == null || writing || waiting.isEmpty()) {
            return;
        }
        writing = true;
        unconfirmed.add(reactor.currentTimeMillis());
        open.write(FrameReader.frame(waiting.remove()))
                .subscribe(
                        (ignored, e) -> {
                            if (socket != open) {
                                return;
                            }
                            writing = false;
                            if (e == null) {
                                write();
                            } else {
                                giveUp();
                            }
                        });
    }

    /**
     * Reads the confirmations of a connection.
     *
     * @param open the connection
     * @param frames splits the stream
     */
    private void readConfirmations(TcpSocket open, FrameReader frames) {
        open.read()
                .subscribe(
                        (buffer, e) -> {
                            if (socket != open || buffer == null) {
                                frames.recycle();
                                giveUpIf(open);
                                return;
                            }
                            frames.add(buffer);
                            try {
                                while (frames.next(address.toString()) != null) {
                                    unconfirmed.poll();
                                }
                                readConfirmations(open, frames);
                            } catch (DamasktillerException refused) {
                                giveUpIf(open);
                            }
                        });
    }

    /**
     * Gives up a connection unless it was replaced.
     *
     * @param open the connection
     */
    private void giveUpIf(TcpSocket open) {
        if (socket == open) {
            giveUp();
        }
    }

    /** Closes the connection and drops what was not confirmed. */
    private void giveUp() {
        dropped += waiting.size() + unconfirmed.size();
        waiting.clear();
        unconfirmed.clear();
        writing = false;
        TcpSocket open = socket;
        socket = null;
        if (open != null) {
            open.close();
        }
    }
}
