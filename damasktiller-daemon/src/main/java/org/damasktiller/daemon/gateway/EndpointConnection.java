package org.damasktiller.daemon.gateway;

import io.activej.bytebuf.ByteBuf;
import io.activej.common.MemSize;
import io.activej.common.inspector.AbstractInspector;
import io.activej.dns.protocol.DnsResponse;
import io.activej.http.HttpClient;
import io.activej.http.HttpClientConnection;
import io.activej.http.HttpHeaders;
import io.activej.http.HttpRequest;
import io.activej.http.HttpResponse;
import io.activej.http.MalformedHttpException;
import io.activej.promise.Promise;
import io.activej.promise.Promises;
import io.activej.reactor.nio.NioReactor;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.Objects;
import org.damasktiller.platform.http.AddressResolver;
import org.damasktiller.routing.AttemptOutcome;
import org.damasktiller.standin.http.CallHeaders;
import org.jspecify.annotations.Nullable;

/**
 * Holds one connection to an endpoint, which carries one request at a time. A client of its own
 * keeps it apart from all others, so that it can be closed alone and nobody else ever reads from
 * it. Used on its reactor's thread only.
 */
final class EndpointConnection {

    /** The path of an endpoint's health check. */
    private static final String HEALTH_PATH = "/health";

    /** The lowest status of a failure. */
    private static final int FAILURE_STATUS = 500;

    /** The status of an endpoint that does not take the request. */
    private static final int UNAVAILABLE_STATUS = 503;

    /** The status of an answer that carries no body. */
    private static final int NO_CONTENT_STATUS = 204;

    /** The status of an answer that was not modified, which carries no body. */
    private static final int NOT_MODIFIED_STATUS = 304;

    /** The address, an IP number and a port. */
    private final String address;

    /** The client that holds the connection. */
    private final HttpClient client;

    /** The limits. */
    private final GatewayLimits limits;

    /** Whether a byte of the present request may have left. */
    private boolean sent;

    /** Whether the connection must not be used any more. */
    private boolean closed;

    /** When the connection was last of use, in milliseconds. */
    private long usedMillis;

    /**
     * Creates a connection, which opens with its first request.
     *
     * @param reactor the reactor
     * @param address the IP number and port
     * @param limits the limits
     */
    EndpointConnection(NioReactor reactor, String address, GatewayLimits limits) {
        this.address = address;
        this.limits = limits;
        this.client =
                HttpClient.builder(reactor, new AddressResolver())
                        .withConnectTimeout(Duration.ofMillis(limits.connectMillis()))
                        .withKeepAliveTimeout(Duration.ofMillis(limits.probeIdleMillis() * 2))
                        .withMaxBodySize(MemSize.of(limits.answerBytes()))
                        .withForcedShutdown(true)
                        .withInspector(new ConnectInspector())
                        .build();
        this.usedMillis = reactor.currentTimeMillis();
    }

    /**
     * Returns when the connection was last of use.
     *
     * @return the time, in milliseconds
     */
    long usedMillis() {
        return usedMillis;
    }

    /**
     * Tells whether the connection must not be used any more.
     *
     * @return whether it is closed
     */
    boolean closed() {
        return closed;
    }

    /**
     * Sends a request and reads the whole answer. Any failure closes the connection.
     *
     * @param request the request
     * @param attempt the number that an answer must not contradict
     * @param nowMillis the time, in milliseconds
     * @return how the attempt ended, never an exception
     */
    Promise<AttemptResult> send(HttpRequest request, String attempt, long nowMillis) {
        sent = client.getConnectionsKeepAliveCount() > 0;
        usedMillis = nowMillis;
        return client.request(request)
                .then(response -> read(response, attempt))
                .map((result, error) -> settle(result, error));
    }

    /**
     * Asks the endpoint for its health over this connection. Without an answer in time the
     * connection is closed.
     *
     * @param nowMillis the time, in milliseconds
     * @return whether the connection carries answers, never an exception
     */
    Promise<Boolean> probe(long nowMillis) {
        usedMillis = nowMillis;
        HttpRequest request = HttpRequest.get("http://" + address + HEALTH_PATH).build();
        Promise<ByteBuf> answer = client.request(request).then(response -> response.loadBody());
        return Promises.timeout(Duration.ofMillis(limits.probeTimeoutMillis()), answer)
                .map(
                        (body, error) -> {
                            if (error != null) {
                                close();
                            }
                            return error == null;
                        });
    }

    /** Closes the connection at once; an answer that arrives later reaches nobody. */
    void close() {
        if (closed) {
            return;
        }
        closed = true;
        client.stop();
    }

    /**
     * Reads and checks an answer.
     *
     * @param response the head of the answer
     * @param attempt the number that the answer must not contradict
     * @return the result
     */
    private Promise<AttemptResult> read(HttpResponse response, String attempt) {
        String echoed = response.getHeader(CallHeaders.ATTEMPT);
        if (echoed != null && !echoed.equals(attempt)) {
            return Promise.ofException(new MalformedHttpException("answer to another request"));
        }
        if (!delimited(response)) {
            return Promise.ofException(new MalformedHttpException("answer without a length"));
        }
        AttemptOutcome outcome = outcome(response);
        String contentType = response.getHeader(HttpHeaders.CONTENT_TYPE);
        return BodyReader.read(response, limits.bufferedBytes())
                .map(body -> result(outcome, response.getCode(), contentType, body));
    }

    /**
     * Makes the result of an answer. Only an answer that counts may be streamed.
     *
     * @param outcome what the answer says of the endpoint
     * @param code the status
     * @param contentType the type of the body, or null
     * @param body the body
     * @return the result
     * @throws MalformedHttpException if the answer is a failure with a large body
     */
    private static AttemptResult result(
            AttemptOutcome outcome, int code, @Nullable String contentType, Body body)
            throws MalformedHttpException {
        if (body.rest() == null) {
            return new AttemptResult(outcome, new Answer(code, contentType, body), null);
        }
        if (outcome != AttemptOutcome.ANSWERED) {
            throw new MalformedHttpException("failure with a large body");
        }
        WatchedStream stream = new WatchedStream(body.rest());
        Answer answer = new Answer(code, contentType, body.withRest(stream));
        return new AttemptResult(outcome, answer, stream.end());
    }

    /**
     * Tells whether the end of an answer can be told from a broken connection.
     *
     * @param response the head of the answer
     * @return whether it can
     */
    private static boolean delimited(HttpResponse response) {
        int code = response.getCode();
        return response.hasHeader(HttpHeaders.CONTENT_LENGTH)
                || response.hasHeader(HttpHeaders.TRANSFER_ENCODING)
                || code == NO_CONTENT_STATUS
                || code == NOT_MODIFIED_STATUS;
    }

    /**
     * Tells what an answer says of the endpoint.
     *
     * @param response the head of the answer
     * @return the outcome
     */
    private static AttemptOutcome outcome(HttpResponse response) {
        if (response.getCode() == UNAVAILABLE_STATUS) {
            if (response.hasHeader(CallHeaders.DRAINING)) {
                return AttemptOutcome.DRAINING;
            }
            if (response.hasHeader(CallHeaders.NOT_RUN)) {
                return AttemptOutcome.BUSY;
            }
        }
        return response.getCode() >= FAILURE_STATUS
                ? AttemptOutcome.FAILED
                : AttemptOutcome.ANSWERED;
    }

    /**
     * Turns a failure into a result and closes the connection after it.
     *
     * @param result the result, or null after a failure
     * @param error the failure, or null
     * @return the result
     */
    private AttemptResult settle(@Nullable AttemptResult result, @Nullable Exception error) {
        if (error == null) {
            return Objects.requireNonNull(result);
        }
        close();
        return AttemptResult.without(sent ? AttemptOutcome.BROKEN : AttemptOutcome.NOT_SENT);
    }

    /** Notes when the connection opens, from which time on bytes may have left. */
    private final class ConnectInspector extends AbstractInspector<HttpClient.Inspector>
            implements HttpClient.Inspector {

        @Override
        public void onRequest(HttpRequest request) {}

        @Override
        public void onRequestComplete(HttpResponse response, HttpClientConnection connection) {}

        @Override
        public void onResolve(HttpRequest request, DnsResponse response) {}

        @Override
        public void onResolveError(HttpRequest request, Exception error) {}

        @Override
        public void onConnecting(HttpRequest request, InetSocketAddress peer) {}

        @Override
        public void onConnect(HttpRequest request, HttpClientConnection connection) {
            sent = true;
        }

        @Override
        public void onConnectError(HttpRequest request, InetSocketAddress peer, Exception error) {}

        @Override
        public void onHttpResponse(HttpResponse response) {}

        @Override
        public void onHttpError(HttpClientConnection connection, Exception error) {}

        @Override
        public void onMalformedHttpResponse(
                HttpClientConnection connection, MalformedHttpException error, byte[] bytes) {}

        @Override
        public void onDisconnect(HttpClientConnection connection) {}
    }
}
