package org.damasktiller.lab.crowd;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;
import org.damasktiller.scheduler.model.Route;

/**
 * A caller beside a crowd. It sends small submissions of one task, each on a connection of its own,
 * and again under the same identifier after a refusal or without an answer. Not thread-safe.
 */
public final class OrdinaryCaller {

    /** How often a submission is sent at most. */
    private static final int MAX_TRIES = 60;

    /** The pause between two tries, in nanoseconds. */
    private static final long RETRY_NANOS = TimeUnit.SECONDS.toNanos(1);

    /** How long the caller waits for an answer, in milliseconds. */
    private static final int TIMEOUT_MILLIS = 5_000;

    /** The begin of the answer to an accepted submission. */
    private static final String ACCEPTED = "HTTP/1.1 200";

    /** The body of each submission. */
    private static final String BODY = "{\"spec\":\"s\",\"steps\":[{\"count\":1,\"cpu\":10}]}";

    /** The address on which the entry VM listens for callers. */
    private final InetSocketAddress server;

    /** The route of the submissions. */
    private final Route route;

    /** The number of submissions so far. */
    private int submissions;

    /**
     * Creates a caller.
     *
     * @param server the address on which the entry VM listens for callers
     * @param route the route of the submissions
     */
    public OrdinaryCaller(InetSocketAddress server, Route route) {
        this.server = server;
        this.route = route;
    }

    /**
     * Sends a submission until it is accepted.
     *
     * @return whether it was accepted in one of the tries
     */
    public boolean submit() {
        submissions++;
        String id = String.format("%016x", submissions);
        for (int number = 0; number < MAX_TRIES; number++) {
            if (trySubmit(id)) {
                return true;
            }
            LockSupport.parkNanos(RETRY_NANOS);
        }
        return false;
    }

    /**
     * Sends a submission once.
     *
     * @param id its identifier
     * @return whether it was accepted
     */
    private boolean trySubmit(String id) {
        String request =
                String.join(
                        "\r\n",
                        "POST " + route.pathPrefix() + id + " HTTP/1.1",
                        "Host: " + route.host(),
                        "Content-Length: " + BODY.length(),
                        "",
                        BODY);
        try (Socket socket = new Socket()) {
            socket.connect(server, TIMEOUT_MILLIS);
            socket.setSoTimeout(TIMEOUT_MILLIS);
            socket.getOutputStream().write(request.getBytes(StandardCharsets.US_ASCII));
            String line =
                    new BufferedReader(
                                    new InputStreamReader(
                                            socket.getInputStream(), StandardCharsets.US_ASCII))
                            .readLine();
            return line != null && line.startsWith(ACCEPTED);
        } catch (IOException exception) {
            return false;
        }
    }
}
