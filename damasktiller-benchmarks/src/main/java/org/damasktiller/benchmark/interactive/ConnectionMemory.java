package org.damasktiller.benchmark.interactive;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.nio.channels.SocketChannel;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import org.damasktiller.benchmark.FigureReport;
import org.damasktiller.standin.endpoint.EndpointBehaviour;

/**
 * Measures the heap that open connections of callers take. Both ends are in this process, so that
 * the limit of open files allows fewer than ten thousand.
 */
final class ConnectionMemory {

    /** How many connections are opened. */
    private static final int CONNECTIONS = 9500;

    /** The number of bytes in a kilobyte. */
    private static final double KILOBYTE = 1000;

    /** The largest head of an answer read, in bytes. */
    private static final int ANSWER_BYTES = 1024;

    /** Creates the measurement. */
    ConnectionMemory() {}

    /**
     * Opens connections, makes a request on each, and reports the heap they take while idle.
     *
     * @param report where the figures go
     */
    void measure(FigureReport report) {
        List<SocketChannel> channels = new ArrayList<>();
        try (Rig rig = new Rig(1, 0, EndpointBehaviour.healthy(0))) {
            long before = usedHeap();
            for (int index = 0; index < CONNECTIONS; index++) {
                channels.add(open(rig));
            }
            long after = usedHeap();
            report.add("open_connections", rig.callerConnections(), "connections");
            report.add("heap_per_connection", (after - before) / KILOBYTE / CONNECTIONS, "kB");
            for (SocketChannel channel : channels) {
                channel.close();
            }
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    /**
     * Opens a connection and waits for an answer on it.
     *
     * @param rig the gateway
     * @return the connection
     * @throws IOException if it can't be opened
     */
    private static SocketChannel open(Rig rig) throws IOException {
        SocketChannel channel =
                SocketChannel.open(
                        new InetSocketAddress(InetAddress.getLoopbackAddress(), rig.port()));
        String request =
                String.join(
                        "\r\n",
                        "POST /v1/call/" + Rig.IDEMPOTENT_KIND + " HTTP/1.1",
                        "Host: gateway",
                        "Damasktiller-Tenant: " + LoadClient.TENANT,
                        "Content-Length: 1",
                        "",
                        "x");
        channel.write(ByteBuffer.wrap(request.getBytes(StandardCharsets.US_ASCII)));
        if (channel.read(ByteBuffer.allocate(ANSWER_BYTES)) < 0) {
            throw new IOException("connection was closed");
        }
        return channel;
    }

    /**
     * Returns the heap in use after a collection.
     *
     * @return the bytes
     */
    private static long usedHeap() {
        System.gc();
        Runtime runtime = Runtime.getRuntime();
        return runtime.totalMemory() - runtime.freeMemory();
    }
}
