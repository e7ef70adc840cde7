package org.damasktiller.scheduler.fatal;

import org.jspecify.annotations.Nullable;

/**
 * Tells which errors a process must not survive. After an error of the virtual machine, such as an
 * {@link OutOfMemoryError}, any method may have stopped half way; after a {@link LinkageError}, a
 * class stays unusable. The state of the process is therefore unknown, and the process has to end.
 */
public final class FatalErrors {

    /** The maximum number of causes that are looked at, since causes may form a cycle. */
    private static final int MAX_CAUSES = 16;

    /** Prevents instantiation. */
    private FatalErrors() {}

    /**
     * Returns the fatal error among an error and its causes. Allocates nothing.
     *
     * @param error the error
     * @return the error itself or one of its causes, or null if none of them is fatal
     */
    public static @Nullable Error find(Throwable error) {
        Throwable current = error;
        for (int count = 0; current != null && count < MAX_CAUSES; count++) {
            if (current instanceof VirtualMachineError || current instanceof LinkageError) {
                return (Error) current;
            }
            current = current.getCause();
        }
        return null;
    }

    /**
     * Throws the fatal error among the causes of an exception. Called before an exception is logged
     * or replaced by a result, because libraries wrap errors in exceptions.
     *
     * @param exception the exception that was caught
     * @throws Error the cause, if one is fatal
     */
    public static void rethrowFatalCause(Throwable exception) {
        Error fatal = find(exception);
        if (fatal != null) {
            throw fatal;
        }
    }
}
