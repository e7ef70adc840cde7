package org.damasktiller.daemon.http;

import io.activej.bytebuf.ByteBuf;
import io.activej.common.inspector.AbstractInspector;
import io.activej.http.HttpRequest;
import io.activej.http.HttpResponse;
import io.activej.http.HttpServer;
import io.activej.http.HttpServerConnection;
import io.activej.http.MalformedHttpException;
import io.activej.net.socket.tcp.TcpSocket;
import java.io.IOException;
import org.jspecify.annotations.Nullable;

/**
 * Ties each connection of a server to its socket and tells the {@link CallerConnection} when the
 * caller closes it. A server opens the socket and then accepts the connection on it, one after the
 * other on one thread.
 */
final class CallerInspector extends AbstractInspector<HttpServer.Inspector>
        implements HttpServer.Inspector {

    /** The connection of the socket opened last, until its connection is accepted. */
    private @Nullable CallerConnection opened;

    /** The number of open connections. */
    private int connections;

    /** Creates an inspector. */
    CallerInspector() {}

    /**
     * Makes the inspector of the server's sockets.
     *
     * @return the inspector
     */
    TcpSocket.Inspector sockets() {
        return new Sockets();
    }

    /**
     * Returns the number of open connections.
     *
     * @return the number
     */
    int connections() {
        return connections;
    }

    @Override
    public void onAccept(HttpServerConnection connection) {
        connections++;
        connection.setUserData(opened);
        opened = null;
    }

    @Override
    public void onHttpRequest(HttpRequest request) {}

    @Override
    public void onHttpResponse(HttpRequest request, HttpResponse response) {}

    @Override
    public void onHttpResponseComplete(HttpServerConnection connection) {}

    @Override
    public void onServletException(HttpRequest request, Exception error) {}

    @Override
    public void onHttpError(HttpServerConnection connection, Exception error) {}

    @Override
    public void onMalformedHttpRequest(
            HttpServerConnection connection, MalformedHttpException error, byte[] bytes) {}

    @Override
    public void onDisconnect(HttpServerConnection connection) {
        connections--;
    }

    /** Follows the sockets. */
    private final class Sockets extends AbstractInspector<TcpSocket.Inspector>
            implements TcpSocket.Inspector {

        @Override
        public void onConnect(TcpSocket socket) {
            opened = new CallerConnection();
            socket.setUserData(opened);
        }

        @Override
        public void onReadTimeout(TcpSocket socket) {
            gone(socket);
        }

        @Override
        public void onRead(TcpSocket socket, ByteBuf bytes) {}

        @Override
        public void onReadEndOfStream(TcpSocket socket) {
            gone(socket);
        }

        @Override
        public void onReadError(TcpSocket socket, IOException error) {
            gone(socket);
        }

        @Override
        public void onWriteTimeout(TcpSocket socket) {
            gone(socket);
        }

        @Override
        public void onWrite(TcpSocket socket, ByteBuf bytes, int size) {}

        @Override
        public void onWriteError(TcpSocket socket, IOException error) {
            gone(socket);
        }

        @Override
        public void onDisconnect(TcpSocket socket) {
            gone(socket);
        }

        /**
         * Tells that the caller is gone.
         *
         * @param socket the socket
         */
        private static void gone(TcpSocket socket) {
            if (socket.getUserData() instanceof CallerConnection connection) {
                connection.gone();
            }
        }
    }
}
