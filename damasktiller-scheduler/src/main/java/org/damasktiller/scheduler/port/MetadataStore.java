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
     * @param answer receives the item, ABSENT if the key does not exist
     */
    void read(String key, Consumer<StoreResult<StoreReading>> answer);

    /**
     * Reads a page of the items whose keys have a prefix.
     *
     * @param prefix the prefix of the keys
     * @param after the last key of the previous page, empty for the first page
     * @param answer receives the page
     */
    void list(String prefix, String after, Consumer<StoreResult<StorePage>> answer);

    /**
     * Waits for changes to the keys with a prefix.
     *
     * @param prefix the prefix of the keys
     * @param afterRevision the revision after which changes are reported
     * @param waitMillis the maximum time to wait for a change, in milliseconds
     * @param answer receives the changes, an empty list if there were none in that time, COMPACTED
     *     if the store no longer has the history since the revision
     */
    void watch(
            String prefix,
            long afterRevision,
            long waitMillis,
            Consumer<StoreResult<StoreChanges>> answer);

    /**
     * Executes a transaction.
     *
     * @param commit the transaction
     * @param answer receives the reply, which has the current items if the status is CONFLICT
     */
    void commit(Commit commit, Consumer<StoreResult<CommitReply>> answer);

    /**
     * Creates a lease.
     *
     * @param lifeMillis the requested time to live, in milliseconds
     * @param answer receives the lease
     */
    void grantLease(long lifeMillis, Consumer<StoreResult<StoreLease>> answer);

    /**
     * Renews a lease.
     *
     * @param lease the identifier of the lease
     * @param answer receives the result, ABSENT if the lease has ended
     */
    void keepLease(long lease, Consumer<StoreResult<Boolean>> answer);

    /**
     * Ends a lease and removes the keys that are bound to it.
     *
     * @param lease the identifier of the lease
     * @param answer receives the result
     */
    void endLease(long lease, Consumer<StoreResult<Boolean>> answer);
}
