package org.damasktiller.daemon.http;

/**
 * Holds the limits of an HTTP listener.
 *
 * @param bodyBytes the largest body of a request, in bytes
 * @param messageMillis how long a caller may take to send a request or to read a response, in
 *     milliseconds
 * @param idleMillis how long a connection without a request is kept open, in milliseconds
 * @param connections how many connections are open at once
 */
public record ListenerLimits(int bodyBytes, long messageMillis, long idleMillis, int connections) {

    /** The limits that suit callers. */
    public static final ListenerLimits DEFAULT =
            new ListenerLimits(64 << 20, 60_000, 60_000, 20_000);
}
