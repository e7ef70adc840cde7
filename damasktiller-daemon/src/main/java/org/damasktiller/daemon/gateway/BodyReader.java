package org.damasktiller.daemon.gateway;

import io.activej.bytebuf.ByteBuf;
import io.activej.bytebuf.ByteBufs;
import io.activej.csp.supplier.ChannelSupplier;
import io.activej.http.HttpMessage;
import io.activej.promise.Promise;
import io.activej.promise.Promises;
import org.jspecify.annotations.Nullable;

/** Reads bodies into memory up to a bound, and leaves the rest of larger ones in their stream. */
final class BodyReader {

    /** What has been read. */
    private final ByteBufs read = new ByteBufs();

    /** The stream. */
    private final ChannelSupplier<ByteBuf> stream;

    /** How many bytes are kept in memory. */
    private final int bufferedBytes;

    /** Whether the stream has ended. */
    private boolean ended;

    /**
     * Creates a reader.
     *
     * @param stream the stream
     * @param bufferedBytes how many bytes are kept in memory
     */
    private BodyReader(ChannelSupplier<ByteBuf> stream, int bufferedBytes) {
        this.stream = stream;
        this.bufferedBytes = bufferedBytes;
    }

    /**
     * Reads the body of a message.
     *
     * @param message the message
     * @param bufferedBytes how many bytes are kept in memory
     * @return the body, whole if it is not larger
     */
    static Promise<Body> read(HttpMessage message, int bufferedBytes) {
        ChannelSupplier<ByteBuf> stream = message.takeBodyStream();
        return new BodyReader(stream, bufferedBytes).fill();
    }

    /**
     * Reads until the bound or the end is reached.
     *
     * @return the body
     */
    private Promise<Body> fill() {
        return Promises.until(this, BodyReader::next, BodyReader::full)
                .map(reader -> reader.body())
                .whenException(error -> read.recycle());
    }

    /**
     * Reads the next part.
     *
     * @return this reader
     */
    private Promise<BodyReader> next() {
        return stream.get().map(this::add);
    }

    /**
     * Adds a part.
     *
     * @param part the part, or null at the end
     * @return this reader
     */
    private BodyReader add(@Nullable ByteBuf part) {
        if (part == null) {
            ended = true;
        } else {
            read.add(part);
        }
        return this;
    }

    /**
     * Tells whether nothing more is to be read.
     *
     * @return whether the bound or the end is reached
     */
    private boolean full() {
        return ended || read.remainingBytes() > bufferedBytes;
    }

    /**
     * Makes the body of what has been read.
     *
     * @return the body
     */
    private Body body() {
        return new Body(read.takeRemaining().asArray(), ended ? null : stream);
    }
}
