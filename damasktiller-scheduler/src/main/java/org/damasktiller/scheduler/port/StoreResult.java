package org.damasktiller.scheduler.port;

import org.jspecify.annotations.Nullable;

/**
 * The answer to a call to the store.
 *
 * @param status how the call ended
 * @param value what the store returned, null where it returned nothing
 * @param reason what the client saw, for the log
 * @param <T> the type of what is returned
 */
public record StoreResult<T>(StoreStatus status, @Nullable T value, String reason) {

    /**
     * Makes the result of a call that was carried out.
     *
     * @param value what the store returned
     * @param <T> the type of what is returned
     * @return the result
     */
    public static <T> StoreResult<T> ok(T value) {
        return new StoreResult<>(StoreStatus.OK, value, "");
    }

    /**
     * Makes the result of a call that was not carried out or got no answer.
     *
     * @param status how the call ended
     * @param reason what the client saw
     * @param <T> the type of what would have been returned
     * @return the result
     */
    public static <T> StoreResult<T> failed(StoreStatus status, String reason) {
        return new StoreResult<>(status, null, reason);
    }

    /**
     * Returns the value of a call that was carried out.
     *
     * @return the value
     * @throws IllegalStateException if the call returned nothing
     */
    public T require() {
        T present = value;
        if (present == null) {
            throw new IllegalStateException("the store returned nothing: " + status);
        }
        return present;
    }
}
