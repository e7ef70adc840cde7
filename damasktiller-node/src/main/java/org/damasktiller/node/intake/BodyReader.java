package org.damasktiller.node.intake;

import io.activej.bytebuf.ByteBuf;
import io.activej.csp.supplier.ChannelSupplier;
import org.damasktiller.scheduler.port.DecisionLog;
import org.damasktiller.scheduler.port.ProcessRuntime;

/** Reads the bodies of requests within the limits of the process. */
public final class BodyReader {

    /** Divides the memory among the bodies. */
    private final IntakeBudget budget;

    /** Limits how many very small parts are read. */
    private final ChunkPacer pacer;

    /** The clock. */
    private final ProcessRuntime runtime;

    /** The log. */
    private final DecisionLog log;

    /**
     * Creates a reader.
     *
     * @param budget divides the memory among the bodies
     * @param runtime the clock and the timers
     * @param log the log
     */
    public BodyReader(IntakeBudget budget, ProcessRuntime runtime, DecisionLog log) {
        this.budget = budget;
        this.runtime = runtime;
        this.log = log;
        pacer = new ChunkPacer(runtime);
    }

    /**
     * Begins to read a body.
     *
     * @param path the path of the request, for the log
     * @param stream the body
     * @param announcedBytes the size that the request announces, in bytes, 0 if it announces none
     * @param maxBytes the largest size, in bytes
     * @param deadlineMillis when the caller stops waiting for the response, on the monotonic clock,
     *     in milliseconds
     * @return the body, which the caller of this method has to release
     */
    public IncomingBody read(
            String path,
            ChannelSupplier<ByteBuf> stream,
            long announcedBytes,
            int maxBytes,
            long deadlineMillis) {
        IncomingBody body =
                new IncomingBody(path, stream, maxBytes, deadlineMillis, budget, runtime, log);
        body.start(announcedBytes, pacer);
        return body;
    }

    /**
     * Takes a body that has arrived together with the head of its request.
     *
     * @param path the path of the request, for the log
     * @param bytes the body
     * @param maxBytes the largest size, in bytes
     * @param deadlineMillis when the caller stops waiting for the response, on the monotonic clock,
     *     in milliseconds
     * @return the body, which the caller of this method has to release
     */
    public IncomingBody readWhole(String path, byte[] bytes, int maxBytes, long deadlineMillis) {
        IncomingBody body =
                new IncomingBody(path, null, maxBytes, deadlineMillis, budget, runtime, log);
        body.startWhole(bytes);
        return body;
    }
}
