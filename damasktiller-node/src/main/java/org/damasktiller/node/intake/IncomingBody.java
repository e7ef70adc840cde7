package org.damasktiller.node.intake;

import static java.util.Objects.requireNonNull;

import io.activej.bytebuf.ByteBuf;
import io.activej.csp.consumer.ChannelConsumers;
import io.activej.csp.supplier.ChannelSupplier;
import io.activej.promise.Promise;
import io.activej.promise.SettablePromise;
import java.util.Arrays;
import org.damasktiller.scheduler.port.DecisionLog;
import org.damasktiller.scheduler.port.ProcessRuntime;
import org.jspecify.annotations.Nullable;

/**
 * The body of one request while it is read and handled. Its parts are copied into one array, so
 * that it takes the memory and the time of its bytes, however they are split. After it has been
 * given up, the rest of it is read and dropped, so that the caller can receive the refusal.
 */
public final class IncomingBody extends IntakeHolding {

    /** What the connection of an incomplete body holds beside it, in bytes. */
    private static final int CONNECTION_BYTES = 16 << 10;

    /** How many times its size a body takes while it is decoded and stored. */
    private static final int HANDLING_FACTOR = 4;

    /** How many parts of a body are read at once, whatever their sizes. */
    private static final int UNPACED_PARTS = 16;

    /** The first size of the array, in bytes. */
    private static final int FIRST_CAPACITY_BYTES = 1 << 10;

    /** The path of the request. */
    private final String path;

    /** What arrives on the connection, null if all of the body has arrived. */
    private final @Nullable ChannelSupplier<ByteBuf> stream;

    /** The largest size of the body, in bytes. */
    private final int maxBytes;

    /** When the body has to have ended, on the monotonic clock, in milliseconds. */
    private final long dueMillis;

    /** When the body began, on the monotonic clock, in milliseconds. */
    private final long beginMillis;

    /** Divides the memory among the bodies. */
    private final IntakeBudget budget;

    /** The clock. */
    private final ProcessRuntime runtime;

    /** The log. */
    private final DecisionLog log;

    /** Receives the body or the reason why it was given up. */
    private final SettablePromise<byte[]> result = new SettablePromise<>();

    /** What has been read, filled up to {@link #length}. */
    private byte[] buffer = new byte[0];

    /** The number of bytes that have been read. */
    private int length;

    /** The number of parts that were read at once. */
    private int unpacedParts;

    /** When the last part arrived, on the monotonic clock, in milliseconds. */
    private long lastProgressMillis;

    /**
     * Creates a body of which nothing has been read.
     *
     * @param path the path of the request
     * @param stream what arrives on the connection, null if all of the body has arrived
     * @param maxBytes the largest size, in bytes
     * @param deadlineMillis when the caller stops waiting for the response, on the monotonic clock,
     *     in milliseconds
     * @param budget divides the memory among the bodies
     * @param runtime the clock
     * @param log the log
     */
    IncomingBody(
            String path,
            @Nullable ChannelSupplier<ByteBuf> stream,
            int maxBytes,
            long deadlineMillis,
            IntakeBudget budget,
            ProcessRuntime runtime,
            DecisionLog log) {
        this.path = path;
        this.stream = stream;
        this.maxBytes = maxBytes;
        this.budget = budget;
        this.runtime = runtime;
        this.log = log;
        beginMillis = runtime.nowMillis();
        lastProgressMillis = beginMillis;
        dueMillis = Math.min(deadlineMillis, beginMillis + budget.limits().totalMillis());
    }

    /**
     * Returns the body.
     *
     * @return the whole body, or a {@link BodyRejectedException} if it was not read to its end
     */
    public Promise<byte[]> result() {
        return result;
    }

    /** Releases the memory of the body, as its request has a response. */
    public void release() {
        budget.release(this);
    }

    @Override
    long lastProgressMillis() {
        return lastProgressMillis;
    }

    @Override
    long dueMillis() {
        return dueMillis;
    }

    @Override
    void giveUp(BodyRejection rejection) {
        if (result.isComplete()) {
            return;
        }
        log.log(
                "body.rejected",
                "path",
                path,
                "reason",
                rejection,
                "bytes",
                length,
                "millis",
                runtime.nowMillis() - beginMillis,
                "idle",
                runtime.nowMillis() - lastProgressMillis,
                "used",
                budget.usedBytes());
        buffer = new byte[0];
        budget.abandon(this);
        result.setException(new BodyRejectedException(rejection));
    }

    @Override
    void closeConnection() {
        ChannelSupplier<ByteBuf> open = stream;
        if (open != null) {
            open.closeEx(new BodyRejectedException(BodyRejection.CONNECTION_NEEDED));
        }
    }

    /**
     * Takes a body that has arrived.
     *
     * @param bytes the body
     */
    void startWhole(byte[] bytes) {
        buffer = bytes;
        length = bytes.length;
        if (length > maxBytes) {
            giveUp(BodyRejection.TOO_LARGE);
        }
        onEnd(null);
    }

    /**
     * Begins to read the body.
     *
     * @param announcedBytes the size that the request announces, in bytes, 0 if it announces none
     * @param pacer limits how many very small parts are read
     */
    void start(long announcedBytes, ChunkPacer pacer) {
        budget.begin(this);
        if (announcedBytes > maxBytes) {
            giveUp(BodyRejection.TOO_LARGE);
        } else if (!budget.tryHold(this, CONNECTION_BYTES)) {
            giveUp(BodyRejection.NO_ROOM);
        }
        requireNonNull(stream)
                .streamTo(
                        ChannelConsumers.ofAsyncConsumer(
                                part -> {
                                    int bytes = part.readRemaining();
                                    append(part);
                                    return beforeNextPart(bytes, pacer);
                                }))
                .subscribe((ignored, error) -> onEnd(error));
    }

    /**
     * Returns when the next part may be read. The first ones are not limited, so that the body of
     * an ordinary request, which may be a single small part, does not wait for bodies of many.
     *
     * @param bytes the size of the part that was read, in bytes
     * @param pacer limits how many very small parts are read
     * @return completes when the next part may be read
     */
    private Promise<Void> beforeNextPart(int bytes, ChunkPacer pacer) {
        if (unpacedParts < UNPACED_PARTS) {
            unpacedParts++;
            return Promise.complete();
        }
        return pacer.onPart(bytes);
    }

    /**
     * Adds a part, unless the body has been given up.
     *
     * @param part the part, which is recycled
     */
    private void append(ByteBuf part) {
        int count = part.readRemaining();
        lastProgressMillis = runtime.nowMillis();
        if (!result.isComplete()) {
            if (count > maxBytes - length) {
                giveUp(BodyRejection.TOO_LARGE);
            } else if (ensureCapacity(length + count)) {
                System.arraycopy(part.array(), part.head(), buffer, length, count);
                length += count;
            } else {
                giveUp(BodyRejection.NO_ROOM);
            }
        }
        part.recycle();
    }

    /**
     * Enlarges the array if that is necessary.
     *
     * @param needed the number of bytes that it has to hold
     * @return whether there is memory for it
     */
    private boolean ensureCapacity(int needed) {
        if (needed <= buffer.length) {
            return true;
        }
        int capacity =
                Math.max(
                        needed,
                        (int)
                                Math.min(
                                        maxBytes,
                                        Math.max(FIRST_CAPACITY_BYTES, 2L * buffer.length)));
        if (!budget.tryHold(this, CONNECTION_BYTES + (long) capacity)) {
            return false;
        }
        buffer = Arrays.copyOf(buffer, capacity);
        return true;
    }

    /**
     * Handles the end of the stream.
     *
     * @param error why it ended, null at the end of the body
     */
    private void onEnd(@Nullable Exception error) {
        if (error != null) {
            giveUp(BodyRejection.BROKEN);
        }
        budget.end(this);
        if (result.isComplete()) {
            return;
        }
        if (!budget.tryHold(this, (long) HANDLING_FACTOR * length)) {
            giveUp(BodyRejection.NO_ROOM);
            budget.end(this);
            return;
        }
        budget.complete(this);
        byte[] body = length == buffer.length ? buffer : Arrays.copyOf(buffer, length);
        buffer = new byte[0];
        result.set(body);
    }
}
