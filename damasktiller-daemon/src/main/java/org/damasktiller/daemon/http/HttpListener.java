package org.damasktiller.daemon.http;

import io.activej.common.MemSize;
import io.activej.http.AsyncServlet;
import io.activej.http.HttpError;
import io.activej.http.HttpResponse;
import io.activej.http.HttpServer;
import io.activej.promise.Promise;
import io.activej.reactor.nio.NioReactor;
import java.net.InetSocketAddress;
import java.time.Duration;
import org.damasktiller.error.DamasktillerException;
import org.damasktiller.error.ErrorCode;
import org.damasktiller.error.Outcome;
import org.damasktiller.error.Step;
import org.damasktiller.standin.http.JsonResponses;

/**
 * Builds HTTP servers with limits of size, time and number, with errors rendered as JSON, and with
 * a {@link CallerConnection} for each connection.
 */
public final class HttpListener {

    /** The status of a body that is too large. */
    private static final int TOO_LARGE_STATUS = 413;

    /** Prevents instantiation. */
    private HttpListener() {}

    /**
     * Builds a server, which is not listening yet.
     *
     * @param reactor the reactor
     * @param servlet the servlet
     * @param address where to listen
     * @param limits the limits
     * @return the server
     */
    public static HttpServer create(
            NioReactor reactor,
            AsyncServlet servlet,
            InetSocketAddress address,
            ListenerLimits limits) {
        return builder(reactor, servlet, address, limits).build();
    }

    /**
     * Starts to build a server; further settings may be added.
     *
     * @param reactor the reactor
     * @param servlet the servlet
     * @param address where to listen
     * @param limits the limits
     * @return a builder
     */
    public static HttpServer.Builder builder(
            NioReactor reactor,
            AsyncServlet servlet,
            InetSocketAddress address,
            ListenerLimits limits) {
        CallerInspector inspector = new CallerInspector();
        return HttpServer.builder(reactor, servlet)
                .withListenAddress(address)
                .withMaxBodySize(MemSize.of(limits.bodyBytes()))
                .withReadWriteTimeout(Duration.ofMillis(limits.messageMillis()))
                .withKeepAliveTimeout(Duration.ofMillis(limits.idleMillis()))
                .withHttpErrorFormatter(HttpListener::format)
                .withInspector(inspector)
                .withSocketInspector(inspector.sockets())
                .withAcceptFilter(
                        (channel, local, remote, ssl) ->
                                inspector.connections() >= limits.connections());
    }

    /**
     * Renders an error that no servlet rendered.
     *
     * @param error the error
     * @return the response
     */
    private static Promise<HttpResponse> format(Exception error) {
        if (error instanceof DamasktillerException known) {
            return Promise.of(JsonResponses.error(known));
        }
        boolean large = error instanceof HttpError http && http.getCode() == TOO_LARGE_STATUS;
        return Promise.of(
                JsonResponses.error(
                        new DamasktillerException(
                                large ? ErrorCode.BODY_TOO_LARGE : ErrorCode.BAD_REQUEST,
                                Step.ACCEPT,
                                "",
                                Outcome.NOT_RUN,
                                "the request is malformed or exceeds a limit",
                                error)));
    }
}
