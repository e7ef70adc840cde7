package org.damasktiller.lab.rig;

import io.activej.eventloop.Eventloop;
import java.time.Clock;
import java.util.Arrays;
import java.util.concurrent.CompletableFuture;
import java.util.function.Consumer;
import org.damasktiller.node.process.EventLoopRuntime;
import org.damasktiller.platform.http.EventLoops;
import org.damasktiller.scheduler.port.ProcessRuntime;

/** The event loop on which a deployment and its callers run, with a clock and timers. */
public final class LabLoop implements AutoCloseable {

    /** The event loop. */
    private final Eventloop eventloop;

    /** The clock and the timers. */
    private final ProcessRuntime runtime;

    /**
     * Starts a loop.
     *
     * @param name the name of its thread
     * @param faults takes a line for each unchecked error of an action
     */
    public LabLoop(String name, Consumer<String> faults) {
        eventloop = EventLoops.start(name);
        runtime =
                new EventLoopRuntime(
                        eventloop,
                        Clock.systemUTC(),
                        (event, fields) -> faults.accept(event + ' ' + Arrays.toString(fields)));
    }

    /**
     * Returns the event loop.
     *
     * @return the event loop
     */
    public Eventloop eventloop() {
        return eventloop;
    }

    /**
     * Returns the clock and the timers.
     *
     * @return the clock and the timers
     */
    public ProcessRuntime runtime() {
        return runtime;
    }

    /**
     * Runs something on the loop and waits for what it ends with.
     *
     * @param action takes where to put the result
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

    @Override
    public void close() {
        eventloop.execute(() -> eventloop.keepAlive(false));
        eventloop.execute(eventloop::breakEventloop);
    }
}
