package org.damasktiller.lab.rig;

import io.activej.eventloop.Eventloop;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.channels.SelectionKey;
import java.nio.channels.Selector;
import java.time.Clock;
import java.util.Arrays;
import java.util.concurrent.CompletableFuture;
import java.util.function.Consumer;
import org.damasktiller.node.process.EventLoopRuntime;
import org.damasktiller.platform.exit.FatalExit;
import org.damasktiller.platform.http.EventLoops;
import org.damasktiller.scheduler.port.ProcessRuntime;
import org.jspecify.annotations.Nullable;

/**
 * Owns the event loop that runs the emulated services and the callers, with its clock and timers.
 */
public final class LabEventLoop implements AutoCloseable {

    /** The event loop. */
    private final Eventloop eventloop;

    /** Runs the event loop. */
    private final Thread thread;

    /** The clock and timers of the event loop. */
    private final ProcessRuntime runtime;

    /**
     * Starts an event loop on a daemon thread.
     *
     * @param name the name of the thread
     * @param exceptionHandler receives a line for each unchecked exception of a scheduled action
     */
    public LabEventLoop(String name, Consumer<String> exceptionHandler) {
        eventloop = EventLoops.create(FatalExit.withShutdownHooks());
        thread = new Thread(eventloop, name);
        thread.setDaemon(true);
        runtime =
                new EventLoopRuntime(
                        eventloop,
                        Clock.systemUTC(),
                        (event, fields) ->
                                exceptionHandler.accept(event + ' ' + Arrays.toString(fields)));
        thread.start();
    }

    /**
     * Returns the event loop, which is also a reactor for clients and servers.
     *
     * @return the event loop
     */
    public Eventloop eventloop() {
        return eventloop;
    }

    /**
     * Returns the clock and timers of the event loop.
     *
     * @return the clock and timers
     */
    public ProcessRuntime runtime() {
        return runtime;
    }

    /**
     * Runs an action on the event loop and blocks the calling thread until the action's result is
     * complete. An unchecked exception of the action is rethrown, wrapped in a {@link
     * java.util.concurrent.CompletionException}. Must not be called on the event loop's own thread.
     *
     * @param action the action, which receives the future that it has to complete
     * @param <T> the type of the result
     * @return the result
     */
    public <T> T await(Consumer<CompletableFuture<T>> action) {
        CompletableFuture<T> result = new CompletableFuture<>();
        eventloop.execute(
                () -> {
                    try {
                        action.accept(result);
                    } catch (RuntimeException exception) {
                        result.completeExceptionally(exception);
                    }
                });
        return result.join();
    }

    /**
     * Ends the event loop, waits for its thread, and closes all of its sockets. Must not be called
     * on that thread.
     */
    @Override
    public void close() {
        eventloop.execute(() -> eventloop.keepAlive(false));
        eventloop.execute(eventloop::breakEventloop);
        try {
            thread.join();
        } catch (InterruptedException exception) {
            Thread.currentThread().interrupt();
            return;
        }
        closeSockets(eventloop.getSelector());
    }

    /**
     * Closes all sockets of a selector, and the selector.
     *
     * @param selector the selector, which no thread uses any more, or null if it is closed
     */
    private static void closeSockets(@Nullable Selector selector) {
        if (selector == null || !selector.isOpen()) {
            return;
        }
        try {
            for (SelectionKey key : selector.keys()) {
                key.channel().close();
            }
            selector.close();
        } catch (IOException exception) {
            throw new UncheckedIOException(exception);
        }
    }
}
