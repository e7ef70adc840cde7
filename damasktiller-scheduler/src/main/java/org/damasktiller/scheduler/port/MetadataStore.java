package org.damasktiller.scheduler.port;

import java.util.function.Consumer;

/**
 * Client of the platform's key-value store. Each call invokes its consumer exactly once, on the
 * thread of the event loop and within the client's timeout.
 */
public interface MetadataStore {

    /**
     * Reads a key. The read is linearizable.
     *
     * @param key the key
     * @param callback receives the item, ABSENT if the key does not exist
     */
    void read(String key, Consumer<StoreResult<StoreReading>> callback);

    /**
     * Reads a page of the items whose keys have a prefix.
     *
     * @param prefix the prefix of the keys
     * @param after the last key of the previous page, empty for the first page
     * @param callback receives the page
     */
    void list(String prefix, String after, Consumer<StoreResult<StorePage>> callback);

    /**
     * Waits for changes to the keys with a prefix.
     *
     * @param prefix the prefix of the keys
     * @param afterRevision the revision after which changes are reported
     * @param waitMillis the maximum time to wait for a change, in milliseconds
     * @param callback receives the changes, an empty list if there were none in that time,
     *     COMPACTED if the store no longer has the history since the revision
     */
    void watch(
            String prefix,
            long afterRevision,
            long waitMillis,
            Consumer<StoreResult<StoreChanges>> callback);

    /**
     * Executes a transaction.
     *
     * @param transaction the transaction
     * @param callback receives the reply, which has the current items if the status is CONFLICT
     */
    void commit(StoreTransaction transaction, Consumer<StoreResult<CommitReply>> callback);

    /**
     * Creates a lease.
     *
     * @param ttlMillis the requested time to live, in milliseconds
     * @param callback receives the lease
     */
    void grantLease(long ttlMillis, Consumer<StoreResult<StoreLease>> callback);

    /**
     * Renews a lease.
     *
     * @param lease the identifier of the lease
     * @param callback receives the result, ABSENT if the lease has ended
     */
    void renewLease(long lease, Consumer<StoreResult<Boolean>> callback);

    /**
     * Ends a lease and removes the keys that are bound to it.
     *
     * @param lease the identifier of the lease
     * @param callback receives the result
     */
    void revokeLease(long lease, Consumer<StoreResult<Boolean>> callback);
}
