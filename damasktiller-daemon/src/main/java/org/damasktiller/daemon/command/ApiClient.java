package org.damasktiller.daemon.command;

import io.activej.eventloop.Eventloop;
import io.activej.promise.Promise;
import java.time.Duration;
import java.util.concurrent.CompletionException;
import java.util.function.Function;
import org.damasktiller.error.DamasktillerException;
import org.damasktiller.platform.http.EventLoops;
import org.damasktiller.standin.http.JsonClient;

/** Calls the HTTP interface of an entry VM and waits for the answer. */
public final class ApiClient implements AutoCloseable {

    /** How long to wait for a connection. */
    private static final Duration CONNECT_TIMEOUT = Duration.ofSeconds(5);

    /** The event loop that does the I/O. */
    private final Eventloop eventloop;

    /** The client, used on the event loop only. */
    private final JsonClient client;

    /** Creates a client with a thread of its own. */
    public ApiClient() {
        eventloop = EventLoops.start("client");
        client = new JsonClient(eventloop, CONNECT_TIMEOUT);
    }

    /**
     * Makes a call and waits for its answer.
     *
     * @param call makes the call; it runs on the event loop
     * @param <T> the type of the answer
     * @return the answer
     * @throws DamasktillerException if the call failed
     */
    public <T> T call(Function<JsonClient, Promise<T>> call) {
        try {
            return eventloop.<T>submit(() -> call.apply(client)).join();
        } catch (CompletionException exception) {
            if (exception.getCause() instanceof DamasktillerException failure) {
                throw failure;
            }
            throw exception;
        }
    }

    /** Closes the connections and ends the thread. */
    @Override
    public void close() {
        eventloop.submit(client::stop).join();
        eventloop.execute(eventloop::breakEventloop);
    }
}
