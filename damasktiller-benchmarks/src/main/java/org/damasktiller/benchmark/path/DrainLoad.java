package org.damasktiller.benchmark.path;

import io.activej.eventloop.Eventloop;
import io.activej.http.HttpClient;
import io.activej.http.HttpHeaders;
import io.activej.http.HttpRequest;
import io.activej.http.HttpResponse;
import io.activej.promise.Promise;
import io.activej.promise.SettablePromise;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.Arrays;
import org.damasktiller.platform.http.AddressResolver;
import org.damasktiller.platform.http.EventLoops;
import org.damasktiller.standin.http.CallHeaders;

/**
 * Sends calls to one entry VM over many connections until it drains, as callers behind a balancer
 * do: a connection that the VM closes after its answer is not opened again. Prints the number of
 * calls answered and of calls cut off.
 */
public final class DrainLoad {

    /** The number of connections. */
    private static final int CONNECTIONS = 16;

    /** How long a connection is kept. */
    private static final Duration KEEP_ALIVE = Duration.ofSeconds(60);

    /** The largest answer accepted, in bytes. */
    private static final int MAXIMUM_ANSWER_BYTES = 1 << 20;

    /** The status of an answered call. */
    private static final int OK = 200;

    /** The exit code for a wrong command line. */
    private static final int EXIT_USAGE = 2;

    /** The value of the header by which the VM closes a connection after its answer. */
    private static final String CLOSE = "close";

    /** The body of every call. */
    private static final byte[] BODY = "two bottles".getBytes(StandardCharsets.UTF_8);

    /** The event loop. */
    private final Eventloop eventloop = EventLoops.start("load");

    /** The address called. */
    private final String url;

    /** Completed when every connection has been closed by the VM or cut off. */
    private final SettablePromise<Void> ended = new SettablePromise<>();

    /** The number of connections still in use. */
    private int open = CONNECTIONS;

    /** The number of calls answered whole. */
    private long answered;

    /** The number of calls cut off. */
    private long cutOff;

    /**
     * Creates a load.
     *
     * @param address the IP address and port of the entry VM
     */
    private DrainLoad(String address) {
        url = "http://" + address + "/v1/call/order-lookup";
    }

    /**
     * Runs a load until the entry VM has drained.
     *
     * @param arguments the IP address and port of the entry VM
     */
    public static void main(String[] arguments) {
        if (arguments.length != 1) {
            System.err.println("usage: DrainLoad IP:PORT");
            System.exit(EXIT_USAGE);
            return;
        }
        DrainLoad load = new DrainLoad(arguments[0]);
        load.eventloop.submit(load::run).join();
        System.out.println("answered " + load.answered + " cut_off " + load.cutOff);
        System.exit(0);
    }

    /**
     * Sends calls over every connection.
     *
     * @return completed when no connection is in use any more
     */
    private Promise<Void> run() {
        for (int index = 0; index < CONNECTIONS; index++) {
            HttpClient client =
                    HttpClient.builder(eventloop, new AddressResolver())
                            .withKeepAliveTimeout(KEEP_ALIVE)
                            .build();
            call(client);
        }
        return ended;
    }

    /**
     * Sends calls one after the other over one connection.
     *
     * @param client the client, which has one connection
     */
    private void call(HttpClient client) {
        HttpRequest request =
                HttpRequest.post(url)
                        .withHeader(CallHeaders.TENANT, "call-centre")
                        .withBody(BODY.clone())
                        .build();
        client.request(request)
                .then(this::read)
                .whenResult(goesOn -> eventloop.post(() -> goOn(client, goesOn)))
                .whenException(
                        exception -> {
                            cutOff++;
                            goOn(client, false);
                        });
    }

    /**
     * Reads an answer.
     *
     * @param response the answer
     * @return whether the connection stays open
     */
    private Promise<Boolean> read(HttpResponse response) {
        String connection = response.getHeader(HttpHeaders.CONNECTION);
        return response.loadBody(MAXIMUM_ANSWER_BYTES)
                .map(
                        body -> {
                            boolean whole =
                                    response.getCode() == OK
                                            && Arrays.equals(body.getArray(), BODY);
                            answered += whole ? 1 : 0;
                            cutOff += whole ? 0 : 1;
                            return !CLOSE.equalsIgnoreCase(connection);
                        });
    }

    /**
     * Sends the next call or gives the connection up.
     *
     * @param client the client
     * @param goesOn whether the connection stays open
     */
    private void goOn(HttpClient client, boolean goesOn) {
        if (goesOn) {
            call(client);
            return;
        }
        open--;
        if (open == 0) {
            ended.set(null);
        }
    }
}
