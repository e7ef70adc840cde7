package org.damasktiller.store;

import io.activej.promise.Promise;
import java.util.List;
import java.util.Optional;

/**
 * Reaches the platform's key-value service. Every promise fails with a {@link
 * org.damasktiller.error.DamasktillerException} of code {@code STORE_UNAVAILABLE} if no answer
 * came; a write may then have taken effect or not.
 */
public interface KeyValueStore {

    /**
     * Reads one key.
     *
     * @param key the key
     * @return the value, or empty if the key is absent
     */
    Promise<Optional<StoredValue>> get(String key);

    /**
     * Reads all keys with a prefix, in the order of the keys.
     *
     * @param prefix the prefix
     * @return the values
     */
    Promise<List<StoredValue>> list(String prefix);

    /**
     * Writes one key if it has the expected revision.
     *
     * @param request the write
     * @return whether it took effect
     */
    Promise<SwapResult> compareAndSwap(SwapRequest request);
}
