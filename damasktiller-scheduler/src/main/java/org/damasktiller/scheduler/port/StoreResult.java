package org.damasktiller.scheduler.port;

import org.jspecify.annotations.Nullable;

/**
 * The outcome of a call to the store.
 *
 * @param status whether the call was executed, and if not, why
 * @param value the returned value, or null if there is none
 * @param reason the cause of a failure, for the log; empty on success
 * @param <T> the type of the returned value
 */
public record StoreResult<T>(StoreStatus status, @Nullable T value, String reason) {

    /**
     * Creates the result of a call that was executed.
     *
     * @param value the returned value
     * @param <T> the type of the returned value
     * @return the result
     */
    public static <T> StoreResult<T> ok(T value) {
        return new StoreResult<>(StoreStatus.OK, value, "");
    }

    /**
     * Creates the result of a call that was not executed or got no answer.
     *
     * @param status why the call failed
     * @param reason the cause, for the log
     * @param <T> the type of the value that a successful call returns
     * @return the result
     */
    public static <T> StoreResult<T> failed(StoreStatus status, String reason) {
        return new StoreResult<>(status, null, reason);
    }

    /**
     * Returns the value of a call that was executed.
     *
     * @return the value
     * @throws IllegalStateException if the call returned no value
     */
    public T require() {
        T present = value;
        if (present == null) {
            throw new IllegalStateException("the call to the store returned no value: " + status);
        }
        return present;
    }
}
