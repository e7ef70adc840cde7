package org.damasktiller.node.intake;

import io.activej.bytebuf.ByteBuf;
import io.activej.common.inspector.AbstractInspector;
import io.activej.http.HttpRequest;
import io.activej.http.HttpResponse;
import io.activej.http.HttpServer;
import io.activej.http.HttpServerConnection;
import io.activej.http.MalformedHttpException;
import io.activej.net.socket.tcp.TcpSocket;
import java.io.IOException;
import java.util.HashMap;
import java.util.Map;
import org.damasktiller.scheduler.port.DecisionLog;
import org.damasktiller.scheduler.port.ProcessRuntime;
import org.jspecify.annotations.Nullable;

/**
 * Counts what the connections of an HTTP server hold of incomplete heads of requests. The server
 * reports each connection twice in a row: by its socket, and then as a connection of HTTP.
 */
public final class RequestHeads {

    /** Divides the memory among heads and bodies. */
    private final IntakeBudget budget;

    /** The clock and the timers. */
    private final ProcessRuntime runtime;

    /** The log. */
    private final DecisionLog log;

    /** The heads by the sockets of their connections. */
    private final Map<TcpSocket, RequestHead> headsBySocket = new HashMap<>();

    /** The heads by their connections of HTTP. */
    private final Map<HttpServerConnection, RequestHead> headsByConnection = new HashMap<>();

    /** The head of the connection that was accepted last, null before the first. */
    private @Nullable RequestHead accepted;

    /**
     * Creates a count for a server without connections.
     *
     * @param budget divides the memory among heads and bodies
     * @param runtime the clock and the timers
     * @param log the log
     */
    RequestHeads(IntakeBudget budget, ProcessRuntime runtime, DecisionLog log) {
        this.budget = budget;
        this.runtime = runtime;
        this.log = log;
    }

    /**
     * Counts the connections of a server.
     *
     * @param builder the builder of the server
     * @return the builder
     */
    public HttpServer.Builder observe(HttpServer.Builder builder) {
        return builder.withSocketInspector(new SocketObserver())
                .withInspector(new RequestObserver());
    }

    /** Observes sockets. */
    private final class SocketObserver extends AbstractInspector<TcpSocket.Inspector>
            implements TcpSocket.Inspector {

        @Override
        public void onConnect(TcpSocket socket) {
            RequestHead head = new RequestHead(socket, budget, runtime, log);
            headsBySocket.put(socket, head);
            accepted = head;
        }

        @Override
        public void onRead(TcpSocket socket, ByteBuf buffer) {
            RequestHead head = headsBySocket.get(socket);
            if (head != null) {
                head.onBytes(buffer.readRemaining());
            }
        }

        @Override
        public void onDisconnect(TcpSocket socket) {
            RequestHead head = headsBySocket.remove(socket);
            if (head != null) {
                head.end();
            }
        }

        @Override
        public void onReadTimeout(TcpSocket socket) {}

        @Override
        public void onReadEndOfStream(TcpSocket socket) {}

        @Override
        public void onReadError(TcpSocket socket, IOException error) {}

        @Override
        public void onWriteTimeout(TcpSocket socket) {}

        @Override
        public void onWrite(TcpSocket socket, ByteBuf buffer, int count) {}

        @Override
        public void onWriteError(TcpSocket socket, IOException error) {}
    }

    /** Observes requests. */
    private final class RequestObserver extends AbstractInspector<HttpServer.Inspector>
            implements HttpServer.Inspector {

        @Override
        public void onAccept(HttpServerConnection connection) {
            RequestHead head = accepted;
            if (head != null) {
                headsByConnection.put(connection, head);
            }
        }

        @Override
        public void onHttpRequest(HttpRequest request) {
            RequestHead head = headsByConnection.get(request.getConnection());
            if (head != null) {
                head.onComplete();
            }
        }

        @Override
        public void onHttpResponseComplete(HttpServerConnection connection) {
            RequestHead head = headsByConnection.get(connection);
            if (head != null) {
                head.onResponse();
            }
        }

        @Override
        public void onDisconnect(HttpServerConnection connection) {
            headsByConnection.remove(connection);
        }

        @Override
        public void onHttpResponse(HttpRequest request, HttpResponse response) {}

        @Override
        public void onServletException(HttpRequest request, Exception error) {}

        @Override
        public void onHttpError(HttpServerConnection connection, Exception error) {}

        @Override
        public void onMalformedHttpRequest(
                HttpServerConnection connection, MalformedHttpException error, byte[] bytes) {}
    }
}
