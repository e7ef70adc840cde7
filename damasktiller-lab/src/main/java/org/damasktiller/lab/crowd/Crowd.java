package org.damasktiller.lab.crowd;

import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;
import org.damasktiller.scheduler.model.Route;

/**
 * Many hostile callers at once, all against one entry VM on loopback. Their connections stay open
 * until the crowd is closed. Each body is a valid submission, filled up by a field that nobody
 * reads. Not thread-safe.
 */
public final class Crowd implements AutoCloseable {

    /** One caller in this number sends its request to the end. */
    private static final int COMPLETE_ONE_IN = 10;

    /** The first identifier of the submissions of a crowd, which ordinary callers don't use. */
    private static final long FIRST_IDENTIFIER = 0xc0_0000_0000_0000L;

    /** The pause after a round in which no byte was moved, in nanoseconds. */
    private static final long PAUSE_NANOS = TimeUnit.MILLISECONDS.toNanos(2);

    /** How many rounds in series may move no byte before the server counts as not reading. */
    private static final int MAX_IDLE_ROUNDS = 1_000;

    /** The begin of each body, up to its steps. */
    private static final String BODY_HEAD = "{\"spec\":\"crowd\",\"steps\":[";

    /** What follows the steps, up to the field that fills the body up. */
    private static final String AFTER_STEPS = "],\"note\":\"";

    /** The end of each body. */
    private static final String BODY_TAIL = "\"}";

    /** The connections, in the order in which they were opened. */
    private final List<HostileConnection> connections = new ArrayList<>();

    /**
     * Opens the connections. Nothing is sent yet.
     *
     * @param server the address on which the entry VM listens for callers
     * @param route the route of the submissions
     * @param kind what the callers send
     * @param count the number of callers
     * @param bodyBytes the size of each body before its framing, in bytes
     * @throws IllegalArgumentException if the server is not on loopback
     */
    public Crowd(
            InetSocketAddress server, Route route, HostileKind kind, int count, int bodyBytes) {
        InetAddress address = server.getAddress();
        if (address == null || !address.isLoopbackAddress()) {
            throw new IllegalArgumentException(server + " is not on loopback");
        }
        byte[] framed = kind.framed(body(kind, bodyBytes));
        for (int index = 0; index < count; index++) {
            String path = route.pathPrefix() + String.format("%016x", FIRST_IDENTIFIER + index);
            HostileRequest request =
                    HostileRequest.create(
                            kind,
                            route.host(),
                            path,
                            bodyBytes,
                            framed,
                            index % COMPLETE_ONE_IN == 0);
            connections.add(new HostileConnection(server, request));
        }
    }

    /**
     * Sends all requests in turn, piece by piece, until each one is sent as far as it goes, its
     * connection is ended, or the server does not read any more.
     */
    public void send() {
        int idleRounds = 0;
        while (idleRounds < MAX_IDLE_ROUNDS
                && !connections.stream().allMatch(HostileConnection::isSettled)) {
            long moved = connections.stream().mapToLong(HostileConnection::advance).sum();
            if (moved > 0) {
                idleRounds = 0;
            } else {
                idleRounds++;
                LockSupport.parkNanos(PAUSE_NANOS);
            }
        }
    }

    /**
     * Describes what became of the connections.
     *
     * @return the numbers of connections, of those that were sent, answered and ended
     */
    public String summary() {
        connections.forEach(HostileConnection::advance);
        return String.format(
                "connections %d, sent %d, answered %d, ended %d",
                connections.size(),
                connections.stream().filter(HostileConnection::isSettled).count(),
                connections.stream().filter(HostileConnection::isAnswered).count(),
                connections.stream().filter(HostileConnection::isEnded).count());
    }

    /** Closes all connections. */
    @Override
    public void close() {
        connections.forEach(HostileConnection::close);
    }

    /**
     * Creates the body of a valid submission.
     *
     * @param kind what the callers send
     * @param bytes its size, in bytes
     * @return the body
     */
    private static byte[] body(HostileKind kind, int bytes) {
        byte[] body = new byte[bytes];
        Arrays.fill(body, (byte) 'x');
        String begin = BODY_HEAD + kind.steps(bytes) + AFTER_STEPS;
        byte[] head = begin.getBytes(StandardCharsets.US_ASCII);
        byte[] tail = BODY_TAIL.getBytes(StandardCharsets.US_ASCII);
        System.arraycopy(head, 0, body, 0, head.length);
        System.arraycopy(tail, 0, body, bytes - tail.length, tail.length);
        return body;
    }
}
