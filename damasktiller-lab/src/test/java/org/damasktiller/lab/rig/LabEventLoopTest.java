package org.damasktiller.lab.rig;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.io.IOException;
import java.net.ConnectException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import org.damasktiller.lab.link.FaultyLink;
import org.junit.jupiter.api.Test;

/** Tests what an event loop leaves behind. */
class LabEventLoopTest {

    private static final int READ_TIMEOUT_MILLIS = 60_000;

    // The process of a soak kept the sockets of all seeds that it had played.
    @Test
    void closedLoopLeavesNoSocketOpen() throws IOException {
        LabEventLoop loop = new LabEventLoop("loop-test", line -> {});
        try (ServerSocket server = new ServerSocket(0, 8, InetAddress.getLoopbackAddress())) {
            InetSocketAddress target =
                    new InetSocketAddress(InetAddress.getLoopbackAddress(), server.getLocalPort());
            FaultyLink link =
                    loop.await(
                            created -> created.complete(new FaultyLink(loop.eventloop(), target)));
            InetSocketAddress address = link.address();
            try (Socket client = connect(address);
                    Socket peer = server.accept()) {
                peer.setSoTimeout(READ_TIMEOUT_MILLIS);
                client.getOutputStream().write(1);
                assertThat(peer.getInputStream().read(), is(1));
                loop.close();

                assertThat(client.getInputStream().read(), is(-1));
                assertThat(peer.getInputStream().read(), is(-1));
                assertThrows(ConnectException.class, () -> connect(address).close());
            }
        }
    }

    private static Socket connect(InetSocketAddress address) throws IOException {
        Socket socket = new Socket(address.getAddress(), address.getPort());
        socket.setSoTimeout(READ_TIMEOUT_MILLIS);
        return socket;
    }
}
