package org.damasktiller.node.process;

import static java.nio.charset.StandardCharsets.US_ASCII;
import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import io.activej.eventloop.Eventloop;
import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicLong;
import org.damasktiller.scheduler.port.MetadataStore;
import org.damasktiller.scheduler.port.StoreStatus;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Tests how long calls to the store may take. The event loop's clock advances only on request. */
final class StoreClientsTest {

    /** The size of a manifest of 1,650 routes as the store sends it, in bytes. */
    private static final long MANIFEST_BYTES = 410_000;

    /** How much a link of 2 Mbit/s carries, in bytes for each millisecond. */
    private static final long LINK_BYTES_PER_MILLI = 250;

    /** How long the manifest fills the link, in milliseconds. */
    private static final long READ_MILLIS = MANIFEST_BYTES / LINK_BYTES_PER_MILLI;

    private static final byte[] RESPONSE =
            "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}".getBytes(US_ASCII);

    private final AtomicLong nowMillis = new AtomicLong(1);

    private final Eventloop eventloop =
            Eventloop.builder().withTimeProvider(nowMillis::get).build();

    private ServerSocket server;

    @BeforeEach
    void start() throws IOException {
        server = new ServerSocket(0, 8, InetAddress.getByAddress(new byte[] {127, 0, 0, 1}));
        eventloop.keepAlive(true);
        Thread thread = new Thread(eventloop, "store-clients-test");
        thread.setDaemon(true);
        thread.start();
    }

    @AfterEach
    void close() throws IOException {
        server.close();
        eventloop.execute(() -> eventloop.keepAlive(false));
        eventloop.execute(eventloop::breakEventloop);
    }

    /**
     * After a restart a VM with a link of 2 Mbit/s never got the manifest: each read was given up
     * after a second, and the next one began from the start and filled the link again.
     */
    @Test
    void manifestThatFillsAWeakLinkForMoreThanASecondIsRead() throws IOException {
        MetadataStore store =
                StoreClients.createForManifest(
                        eventloop, (InetSocketAddress) server.getLocalSocketAddress());
        assertThat(statusAfter(store, READ_MILLIS), is(StoreStatus.OK));
    }

    /** A call to a store that does not answer must not take long. */
    @Test
    void otherCallIsGivenUpSooner() throws IOException {
        MetadataStore store =
                StoreClients.create(eventloop, (InetSocketAddress) server.getLocalSocketAddress());
        assertThat(statusAfter(store, READ_MILLIS), is(StoreStatus.UNKNOWN));
    }

    /**
     * Lists some keys and answers after a time.
     *
     * @param store the client
     * @param millis the time between the request and the response, in milliseconds
     * @return how the call ended
     */
    private StoreStatus statusAfter(MetadataStore store, long millis) throws IOException {
        CompletableFuture<StoreStatus> status = new CompletableFuture<>();
        eventloop.execute(
                () -> store.list("prefix", "", result -> status.complete(result.status())));
        try (Socket connection = server.accept()) {
            BufferedReader reader =
                    new BufferedReader(
                            new InputStreamReader(connection.getInputStream(), US_ASCII));
            while (!reader.readLine().isEmpty()) {
                // The head of the request goes on.
            }
            nowMillis.addAndGet(millis);
            awaitEventLoop();
            awaitEventLoop();
            if (!status.isDone()) {
                connection.getOutputStream().write(RESPONSE);
            }
            return status.join();
        }
    }

    /** Waits until the event loop has handled what is due. */
    private void awaitEventLoop() {
        CompletableFuture<Void> handled = new CompletableFuture<>();
        eventloop.execute(() -> eventloop.post(() -> handled.complete(null)));
        handled.join();
    }
}
