package org.damasktiller.table;

import io.activej.promise.Promise;
import java.util.function.Supplier;
import org.damasktiller.error.DamasktillerException;

/** Turns the errors of a decision into failed promises, so that no reactor takes them as fatal. */
final class Attempt {

    /** Prevents instantiation. */
    private Attempt() {}

    /**
     * Makes a promise; an error thrown on the way fails it.
     *
     * @param supplier makes the promise
     * @param <T> the type of the result
     * @return the promise
     */
    static <T> Promise<T> of(Supplier<Promise<T>> supplier) {
        try {
            return supplier.get();
        } catch (DamasktillerException e) {
            return Promise.ofException(e);
        }
    }
}
