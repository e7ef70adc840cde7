package org.damasktiller.table;

import io.activej.promise.Promise;
import java.util.function.Supplier;
import org.damasktiller.error.DamasktillerException;

/**
 * Converts exceptions thrown by code that returns a promise into failed promises; the reactor would
 * treat a thrown exception as fatal.
 */
final class PromiseSuppliers {

    /** Prevents instantiation. */
    private PromiseSuppliers() {}

    /**
     * Calls a supplier of a promise.
     *
     * @param supplier creates the promise; may throw a {@link DamasktillerException}
     * @param <T> the type of the result
     * @return the promise of the supplier, or a promise failed with the exception that it threw
     */
    static <T> Promise<T> getOrFail(Supplier<Promise<T>> supplier) {
        try {
            return supplier.get();
        } catch (DamasktillerException e) {
            return Promise.ofException(e);
        }
    }
}
