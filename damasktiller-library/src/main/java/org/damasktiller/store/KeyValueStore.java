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

    /**
     * Grants a lease; keys bound to it are deleted when it lapses.
     *
     * @param durationMillis how long the lease lasts without a renewal, in milliseconds
     * @return the lease's number, above zero
     */
    Promise<Long> grantLease(long durationMillis);

    /**
     * Renews a lease for its full duration.
     *
     * @param leaseId the lease
     * @return whether the lease still stood
     */
    Promise<Boolean> renewLease(long leaseId);

    /**
     * Revokes a lease and deletes the keys bound to it.
     *
     * @param leaseId the lease
     * @return a promise completed when the lease is gone
     */
    Promise<Void> revokeLease(long leaseId);

    /**
     * Waits until a key with the prefix has been written after a revision.
     *
     * @param prefix the prefix
     * @param afterRevision the revision known to the watcher
     * @param timeoutMillis how long to wait at most, in milliseconds
     * @return the keys written since, or an empty list after the timeout
     */
    Promise<List<StoredValue>> watch(String prefix, long afterRevision, long timeoutMillis);
}
