package org.damasktiller.daemon.gateway;

/**
 * Holds the limits of size and time of interactive calls.
 *
 * @param requestBytes the largest body of a request, in bytes
 * @param answerBytes the largest body of an answer, in bytes
 * @param bufferedBytes the largest body that is kept in memory whole, in bytes; larger ones are
 *     streamed
 * @param defaultDeadlineMillis how long a caller without a deadline waits, in milliseconds
 * @param connectMillis how long a connection may take to open, in milliseconds
 * @param probeIdleMillis after how much idle time a connection is probed, in milliseconds
 * @param probeTimeoutMillis how long the answer to a probe may take, in milliseconds
 */
public record GatewayLimits(
        int requestBytes,
        int answerBytes,
        int bufferedBytes,
        long defaultDeadlineMillis,
        long connectMillis,
        long probeIdleMillis,
        long probeTimeoutMillis) {

    /** The limits that suit answers of up to some megabytes. */
    public static final GatewayLimits DEFAULT =
            new GatewayLimits(64 << 20, 64 << 20, 256 << 10, 30_000, 1000, 5000, 1000);

    /**
     * Returns these limits with another size of requests.
     *
     * @param value the largest body of a request, in bytes
     * @return the limits
     */
    public GatewayLimits withRequestBytes(int value) {
        return new GatewayLimits(
                value,
                answerBytes,
                bufferedBytes,
                defaultDeadlineMillis,
                connectMillis,
                probeIdleMillis,
                probeTimeoutMillis);
    }
}
