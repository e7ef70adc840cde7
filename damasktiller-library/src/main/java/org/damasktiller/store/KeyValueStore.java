package org.damasktiller.store;

import io.activej.promise.Promise;
import java.util.List;
import java.util.Optional;

/**
 * Reads and writes the platform's key-value service. If the service does not answer, the promise
 * fails with a {@link org.damasktiller.error.DamasktillerException} of code {@code
 * STORE_UNAVAILABLE}; a write may have taken effect in this case.
 */
public interface KeyValueStore {

    /**
     * Reads the value of one key.
     *
     * @param key the key to read
     * @return the value, or empty if the key is absent
     */
    Promise<Optional<StoredValue>> get(String key);

    /**
     * Reads all values whose keys begin with a prefix.
     *
     * @param prefix the prefix of the keys
     * @return the values, in ascending order of their keys
     */
    Promise<List<StoredValue>> list(String prefix);

    /**
     * Writes or deletes one key if it has the expected revision.
     *
     * @param request the key, the expected revision and the new value
     * @return whether the write took effect, and the conflicting value if it did not
     */
    Promise<SwapResult> compareAndSwap(SwapRequest request);
}
