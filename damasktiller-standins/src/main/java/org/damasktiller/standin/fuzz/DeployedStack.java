package org.damasktiller.standin.fuzz;

import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.concurrent.Executor;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.function.Supplier;

/** Calls decoders on a thread that has the stack of a deployed process. */
public final class DeployedStack {

    /** The size of the stack, that of {@code -Xss} in {@code deploy/system.toml}, in bytes. */
    private static final long STACK_BYTES = 256 << 10;

    /** Runs the calls one by one. */
    private static final Executor EXECUTOR = createExecutor();

    /** Prevents instantiation. */
    private DeployedStack() {}

    /**
     * Calls a function and waits for it.
     *
     * @param function the function
     * @param <T> the type of the result
     * @return the result
     */
    public static <T> T call(Supplier<T> function) {
        try {
            return CompletableFuture.supplyAsync(function, EXECUTOR).join();
        } catch (CompletionException exception) {
            if (exception.getCause() instanceof RuntimeException cause) {
                throw cause;
            }
            if (exception.getCause() instanceof Error cause) {
                throw cause;
            }
            throw exception;
        }
    }

    /**
     * Creates the executor of a daemon thread.
     *
     * @return the executor
     */
    private static ExecutorService createExecutor() {
        return Executors.newSingleThreadExecutor(
                action -> {
                    Thread thread = new Thread(null, action, "deployed-stack", STACK_BYTES);
                    thread.setDaemon(true);
                    return thread;
                });
    }
}
