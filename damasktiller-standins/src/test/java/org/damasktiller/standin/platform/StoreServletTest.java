package org.damasktiller.standin.platform;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.hasSize;
import static org.hamcrest.Matchers.is;
import static org.junit.jupiter.api.Assertions.assertThrows;

import io.activej.eventloop.Eventloop;
import io.activej.promise.Promise;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.concurrent.CompletionException;
import java.util.function.Supplier;
import org.damasktiller.error.DamasktillerException;
import org.damasktiller.error.ErrorCode;
import org.damasktiller.standin.client.store.HttpKeyValueStore;
import org.damasktiller.standin.http.JsonClient;
import org.damasktiller.standin.store.StoreFaults;
import org.damasktiller.standin.store.StoreService;
import org.damasktiller.standin.store.StoreState;
import org.damasktiller.store.SwapRequest;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

class StoreServletTest {

    private static final long TIMEOUT_MILLIS = 20_000;

    private final StoreState state = new StoreState();
    private StoreService service;
    private StandInServer server;
    private Eventloop eventloop;
    private JsonClient client;
    private HttpKeyValueStore store;

    @BeforeEach
    void startServer() {
        server =
                StandInServer.start(
                        "store",
                        new InetSocketAddress(InetAddress.getLoopbackAddress(), 0),
                        loop -> {
                            service = new StoreService(loop, state);
                            return StoreServlet.create(loop, service);
                        });
        eventloop = Eventloop.create();
        eventloop.keepAlive(true);
        Thread thread = new Thread(eventloop, "client");
        thread.setDaemon(true);
        thread.start();
        client = new JsonClient(eventloop, Duration.ofSeconds(5));
        store = new HttpKeyValueStore(client, server.address(), TIMEOUT_MILLIS);
    }

    @AfterEach
    void stopServer() {
        eventloop.submit(() -> client.stop()).join();
        eventloop.execute(eventloop::breakEventloop);
        server.close();
    }

    @Test
    void testValueIsWrittenAndRead() {
        assertThat(call(() -> store.compareAndSwap(write("a", 0))).applied(), is(true));
        assertThat(call(() -> store.get("a")).orElseThrow().value(), is(bytes("a")));
        assertThat(call(() -> store.list("")), hasSize(1));
        assertThat(call(() -> store.compareAndSwap(write("a", 0))).applied(), is(false));
    }

    @Test
    void testWatchAnswersOnceTheKeyIsWritten() {
        var watched = eventloop.submit(() -> store.watch("b", 0, TIMEOUT_MILLIS));
        call(() -> store.compareAndSwap(write("b", 0)));
        assertThat(watched.join(), hasSize(1));
    }

    @Test
    void testLostAnswerOfWriteThatTookEffect() {
        server.run(() -> service.setFaults(StoreFaults.LOST_ANSWERS));
        CompletionException failure =
                assertThrows(
                        CompletionException.class,
                        () -> call(() -> store.compareAndSwap(write("c", 0))));
        assertThat(
                ((DamasktillerException) failure.getCause()).code(),
                is(ErrorCode.STORE_UNAVAILABLE));
        server.run(() -> service.setFaults(StoreFaults.NONE));
        assertThat(call(() -> store.get("c")).isPresent(), is(true));
    }

    private <T> T call(Supplier<Promise<T>> call) {
        return eventloop.submit(call::get).join();
    }

    private static SwapRequest write(String key, long revision) {
        return new SwapRequest(key, revision, bytes(key), 0);
    }

    private static byte[] bytes(String text) {
        return text.getBytes(StandardCharsets.UTF_8);
    }
}
