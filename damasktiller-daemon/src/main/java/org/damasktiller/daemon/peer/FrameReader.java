package org.damasktiller.daemon.peer;

import io.activej.bytebuf.ByteBuf;
import io.activej.bytebuf.ByteBufs;
import org.damasktiller.peer.PeerCodec;
import org.jspecify.annotations.Nullable;

/** Splits a stream of bytes into frames, each with its length in four bytes before it. */
final class FrameReader {

    /** The bytes of the length. */
    static final int LENGTH_BYTES = 4;

    /** The bytes that wait to be split. */
    private final ByteBufs buffers = new ByteBufs();

    /** The largest frame accepted, in bytes. */
    private int maximumBytes;

    /** The length of the next frame, or a negative number if it has not arrived. */
    private int length = -1;

    /**
     * Creates a reader.
     *
     * @param maximumBytes the largest frame accepted, in bytes
     */
    FrameReader(int maximumBytes) {
        this.maximumBytes = maximumBytes;
    }

    /**
     * Makes a frame.
     *
     * @param body the bytes of the frame
     * @return length and body
     */
    static ByteBuf frame(byte[] body) {
        ByteBuf frame = ByteBuf.wrapForWriting(new byte[LENGTH_BYTES + body.length]);
        frame.writeInt(body.length);
        frame.write(body);
        return frame;
    }

    /**
     * Changes the largest frame accepted.
     *
     * @param bytes the largest frame accepted, in bytes
     */
    void setMaximumBytes(int bytes) {
        maximumBytes = bytes;
    }

    /**
     * Adds received bytes.
     *
     * @param buffer the bytes
     */
    void add(ByteBuf buffer) {
        buffers.add(buffer);
    }

    /**
     * Takes the next frame.
     *
     * @param peer the sender, for the error
     * @return the frame, or null if it has not arrived in full
     * @throws org.damasktiller.error.DamasktillerException with code PROTOCOL_ERROR if its length
     *     is not allowed
     */
    byte @Nullable [] next(String peer) {
        if (length < 0 && buffers.hasRemainingBytes(LENGTH_BYTES)) {
            ByteBuf prefix = buffers.takeExactSize(LENGTH_BYTES);
            length = prefix.readInt();
            prefix.recycle();
            if (length < 0 || length > maximumBytes) {
                throw PeerCodec.error(
                        peer, "frame of " + length + " bytes, allowed " + maximumBytes, null);
            }
        }
        if (length < 0 || !buffers.hasRemainingBytes(length)) {
            return null;
        }
        byte[] frame = buffers.takeExactSize(length).asArray();
        length = -1;
        return frame;
    }

    /** Releases the bytes that were not taken. */
    void recycle() {
        buffers.recycle();
    }
}
