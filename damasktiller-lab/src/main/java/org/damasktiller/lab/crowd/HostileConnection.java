package org.damasktiller.lab.crowd;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetSocketAddress;
import java.net.StandardSocketOptions;
import java.nio.ByteBuffer;
import java.nio.channels.SocketChannel;
import java.util.Arrays;

/** One connection of a hostile caller. It sends its request and stays open. Not thread-safe. */
final class HostileConnection {

    /** The size of the buffer for responses, which are dropped, in bytes. */
    private static final int READ_BYTES = 4 << 10;

    /** The size of the operating system's buffer for what is sent, in bytes. */
    private static final int SEND_BUFFER_BYTES = 16 << 10;

    /** The connection. */
    private final SocketChannel channel;

    /** What is still to be sent. */
    private final ByteBuffer[] unsent;

    /** How many bytes are sent at a time. */
    private final int pieceBytes;

    /** Whether the server has ended the connection. */
    private boolean ended;

    /** Whether the server has answered. */
    private boolean answered;

    /**
     * Starts to connect.
     *
     * @param server the address of the server, on loopback
     * @param request the request
     */
    HostileConnection(InetSocketAddress server, HostileRequest request) {
        unsent = request.toBuffers();
        pieceBytes = request.pieceBytes();
        try {
            channel = SocketChannel.open();
            channel.configureBlocking(false);
            channel.setOption(StandardSocketOptions.SO_SNDBUF, SEND_BUFFER_BYTES);
            channel.connect(server);
        } catch (IOException exception) {
            throw new UncheckedIOException(exception);
        }
    }

    /**
     * Sends the next piece and reads what the server has sent, without blocking.
     *
     * @return how many bytes were moved
     */
    long advance() {
        if (ended) {
            return 0;
        }
        try {
            if (channel.isConnectionPending() && !channel.finishConnect()) {
                return 0;
            }
            return readResponse() + (ended ? 0 : sendPiece());
        } catch (IOException exception) {
            ended = true;
            return 0;
        }
    }

    /**
     * Returns whether nothing is left to be sent.
     *
     * @return whether all bytes are sent or the server has ended the connection
     */
    boolean isSettled() {
        return ended || Arrays.stream(unsent).noneMatch(ByteBuffer::hasRemaining);
    }

    /**
     * Returns whether the server has ended the connection.
     *
     * @return whether the end was seen
     */
    boolean isEnded() {
        return ended;
    }

    /**
     * Returns whether the server has answered.
     *
     * @return whether some byte of a response was seen
     */
    boolean isAnswered() {
        return answered;
    }

    /** Closes the connection. */
    void close() {
        ended = true;
        try {
            channel.close();
        } catch (IOException exception) {
            throw new UncheckedIOException(exception);
        }
    }

    /**
     * Reads what the server has sent.
     *
     * @return the number of bytes
     * @throws IOException if the connection failed
     */
    private long readResponse() throws IOException {
        int count = channel.read(ByteBuffer.allocate(READ_BYTES));
        ended = count < 0;
        answered |= count > 0;
        return Math.max(0, count);
    }

    /**
     * Sends the next piece.
     *
     * @return the number of bytes that the operating system has taken
     * @throws IOException if the connection failed
     */
    private long sendPiece() throws IOException {
        for (ByteBuffer buffer : unsent) {
            if (buffer.hasRemaining()) {
                ByteBuffer piece = buffer.slice();
                piece.limit(Math.min(piece.remaining(), pieceBytes));
                int count = channel.write(piece);
                buffer.position(buffer.position() + count);
                return count;
            }
        }
        return 0;
    }
}
