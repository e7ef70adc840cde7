package org.damasktiller.lab.link;

import static java.nio.charset.StandardCharsets.UTF_8;
import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;
import static org.junit.jupiter.api.Assertions.assertThrows;

import io.activej.eventloop.Eventloop;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.concurrent.CompletableFuture;
import org.damasktiller.platform.http.EventLoops;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Tests the faults of a link on connections of plain sockets. */
class FaultyLinkTest {

    private static final int READ_TIMEOUT_MILLIS = 60_000;

    private final Eventloop eventloop = EventLoops.start("link-test");

    private ServerSocket server;

    private FaultyLink link;

    @BeforeEach
    void open() throws IOException {
        server = new ServerSocket(0, 8, InetAddress.getLoopbackAddress());
        InetSocketAddress target =
                new InetSocketAddress(InetAddress.getLoopbackAddress(), server.getLocalPort());
        CompletableFuture<FaultyLink> created = new CompletableFuture<>();
        eventloop.execute(() -> created.complete(new FaultyLink(eventloop, target)));
        link = created.join();
    }

    @AfterEach
    void close() throws IOException {
        server.close();
        eventloop.execute(() -> eventloop.keepAlive(false));
        eventloop.execute(eventloop::breakEventloop);
    }

    @Test
    void passesBytesBothWays() throws IOException {
        try (Socket client = connect();
                Socket peer = server.accept()) {
            send(client, "request");
            assertThat(receive(peer, 7), is("request"));
            send(peer, "answer");
            assertThat(receive(client, 6), is("answer"));
        }
    }

    @Test
    void holdsAnswersUntilItIsOpenAgain() throws IOException {
        try (Socket client = connect();
                Socket peer = server.accept()) {
            setState(LinkState.ANSWERS_HELD);
            send(client, "request");
            assertThat(receive(peer, 7), is("request"));
            send(peer, "answer");
            setState(LinkState.OPEN);
            assertThat(receive(client, 6), is("answer"));
        }
    }

    @Test
    void closesOpenConnections() throws IOException {
        try (Socket client = connect();
                Socket peer = server.accept()) {
            send(client, "request");
            assertThat(receive(peer, 7), is("request"));
            eventloop.submit(link::closeConnections).join();
            assertThat(client.getInputStream().read(), is(-1));
        }
    }

    @Test
    void refusesNewConnections() throws IOException {
        eventloop.submit(() -> link.setRefusing(true)).join();
        try (Socket client = connect()) {
            assertThat(client.getInputStream().read(), is(-1));
        }
    }

    @Test
    void stalledConnectionForwardsNothingAndNewOnesWork() throws IOException {
        try (Socket client = connect();
                Socket peer = server.accept()) {
            send(client, "request");
            assertThat(receive(peer, 7), is("request"));
            eventloop.submit(link::stallConnections).join();
            send(peer, "answer");
            client.setSoTimeout(300);
            assertThrows(IOException.class, () -> client.getInputStream().read());
        }
        passesBytesBothWays();
    }

    private Socket connect() throws IOException {
        Socket socket = new Socket(InetAddress.getLoopbackAddress(), link.address().getPort());
        socket.setSoTimeout(READ_TIMEOUT_MILLIS);
        return socket;
    }

    private void setState(LinkState state) {
        eventloop.submit(() -> link.setState(state, 0)).join();
    }

    private static void send(Socket socket, String text) throws IOException {
        socket.getOutputStream().write(text.getBytes(UTF_8));
        socket.getOutputStream().flush();
    }

    private static String receive(Socket socket, int length) throws IOException {
        return new String(socket.getInputStream().readNBytes(length), UTF_8);
    }
}
