package org.damasktiller.membership;

/**
 * Bounds the bytes of control traffic of one node by a token bucket that holds one second's worth.
 * Only what is sent can be bounded here; as members receive as much as they send on average, half
 * of the budget is for sending.
 */
final class ByteBudget {

    /** Milliseconds in a second. */
    private static final long SECOND = 1000;

    /** The part of the budget for sending is one in this many. */
    private static final int DIRECTIONS = 2;

    /** The bytes of IP and UDP headers of one datagram. */
    private static final int HEADER_BYTES = 28;

    /** The bytes a second. */
    private final long bytesPerSecond;

    /** The bytes that may be spent now, in thousandths. */
    private long milliBytes;

    /** When the bucket was last filled, in milliseconds. */
    private long filledAtMillis = Long.MIN_VALUE;

    /** The bytes sent. */
    private long sentBytes;

    /** The bytes received. */
    private long receivedBytes;

    /** The datagrams that were not sent for lack of budget. */
    private long refusedDatagrams;

    /**
     * Creates a full budget.
     *
     * @param bytesPerSecond the bytes a second, sent and received
     */
    ByteBudget(int bytesPerSecond) {
        this.bytesPerSecond = bytesPerSecond;
        this.milliBytes = bytesPerSecond * SECOND;
    }

    /**
     * Pays for a datagram to send.
     *
     * @param payloadBytes the bytes without headers
     * @param reserveBytes the bytes that must be left afterwards, for more urgent datagrams
     * @param nowMillis the time, in milliseconds
     * @return whether the datagram may be sent
     */
    boolean trySend(int payloadBytes, int reserveBytes, long nowMillis) {
        fill(nowMillis);
        long bytes = (long) payloadBytes + HEADER_BYTES;
        if (milliBytes < (bytes + reserveBytes) * SECOND) {
            refusedDatagrams++;
            return false;
        }
        milliBytes -= bytes * SECOND;
        sentBytes += bytes;
        return true;
    }

    /**
     * Counts a datagram that was received.
     *
     * @param payloadBytes the bytes without headers
     */
    void received(int payloadBytes) {
        receivedBytes += (long) payloadBytes + HEADER_BYTES;
    }

    /**
     * Returns the bytes sent.
     *
     * @return the bytes, headers included
     */
    long sentBytes() {
        return sentBytes;
    }

    /**
     * Returns the bytes received.
     *
     * @return the bytes, headers included
     */
    long receivedBytes() {
        return receivedBytes;
    }

    /**
     * Returns how many datagrams were not sent for lack of budget.
     *
     * @return the number of datagrams
     */
    long refusedDatagrams() {
        return refusedDatagrams;
    }

    /**
     * Adds what has become available since the last call.
     *
     * @param nowMillis the time, in milliseconds
     */
    private void fill(long nowMillis) {
        if (filledAtMillis != Long.MIN_VALUE && nowMillis > filledAtMillis) {
            long added = Math.min(nowMillis - filledAtMillis, SECOND) * bytesPerSecond / DIRECTIONS;
            milliBytes = Math.min(bytesPerSecond * SECOND, milliBytes + added);
        }
        filledAtMillis = Math.max(filledAtMillis, nowMillis);
    }
}
