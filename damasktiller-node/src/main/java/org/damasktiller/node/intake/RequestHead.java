package org.damasktiller.node.intake;

import io.activej.net.socket.tcp.TcpSocket;
import org.damasktiller.scheduler.port.DecisionLog;
import org.damasktiller.scheduler.port.ProcessRuntime;

/** What a connection holds of the heads of its requests before they are complete, one at a time. */
final class RequestHead extends IntakeHolding {

    /** The size of the buffer that holds the first bytes of a head, in bytes. */
    private static final long FIRST_BUFFER_BYTES = 16 << 10;

    /**
     * The largest head, in bytes: twice the buffer into which a connection is read, which may hold
     * the begin of the body as well.
     */
    private static final long MAX_BYTES = 32 << 10;

    /** The connection. */
    private final TcpSocket socket;

    /** Divides the memory among heads and bodies. */
    private final IntakeBudget budget;

    /** The clock and the timers. */
    private final ProcessRuntime runtime;

    /** The log. */
    private final DecisionLog log;

    /** Whether bytes that arrive belong to a head. */
    private boolean reading = true;

    /** The number of bytes of the head that have arrived. */
    private long arrivedBytes;

    /** When its first byte arrived, on the monotonic clock, in milliseconds. */
    private long beginMillis;

    /** When its last byte arrived, on the monotonic clock, in milliseconds. */
    private long lastProgressMillis;

    /**
     * Creates the head of the first request, of which nothing has arrived.
     *
     * @param socket the connection
     * @param budget divides the memory among heads and bodies
     * @param runtime the clock and the timers
     * @param log the log
     */
    RequestHead(TcpSocket socket, IntakeBudget budget, ProcessRuntime runtime, DecisionLog log) {
        this.socket = socket;
        this.budget = budget;
        this.runtime = runtime;
        this.log = log;
    }

    /**
     * Counts bytes that have arrived on the connection.
     *
     * @param count the number of bytes
     */
    void onBytes(int count) {
        if (!reading) {
            return;
        }
        lastProgressMillis = runtime.nowMillis();
        if (arrivedBytes == 0) {
            beginMillis = lastProgressMillis;
            budget.begin(this);
        }
        arrivedBytes += count;
        if (arrivedBytes > MAX_BYTES) {
            giveUp(BodyRejection.TOO_LARGE);
        } else if (!budget.tryHold(this, Math.max(FIRST_BUFFER_BYTES, arrivedBytes))) {
            giveUp(BodyRejection.NO_ROOM);
        }
    }

    /** Notes that the head is complete. What arrives from now on belongs to its body. */
    void onComplete() {
        reading = false;
        end();
    }

    /** Notes that the request has its response. What arrives from now on is the next head. */
    void onResponse() {
        reading = true;
    }

    /** Releases what is held. */
    void end() {
        arrivedBytes = 0;
        budget.complete(this);
        budget.release(this);
        budget.end(this);
    }

    @Override
    long lastProgressMillis() {
        return lastProgressMillis;
    }

    @Override
    long dueMillis() {
        return beginMillis + budget.limits().totalMillis();
    }

    @Override
    void giveUp(BodyRejection rejection) {
        log.log(
                "head.rejected",
                "reason",
                rejection,
                "bytes",
                arrivedBytes,
                "millis",
                runtime.nowMillis() - beginMillis,
                "used",
                budget.usedBytes());
        reading = false;
        budget.abandon(this);
        runtime.schedule(0, this::closeConnection);
    }

    @Override
    void closeConnection() {
        socket.closeEx(new BodyRejectedException(BodyRejection.CONNECTION_NEEDED));
    }
}
