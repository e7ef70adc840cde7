package org.damasktiller.scheduler.port;

import java.util.function.Consumer;

/**
 * The platform's store. Each call answers once, on the thread of the event loop, within the
 * client's timeout.
 */
public interface MetadataStore {

    /**
     * Reads a key.
     *
     * @param key the key
     * @param answer takes the reading
     */
    void read(String key, Consumer<StoreResult<StoreReading>> answer);

    /**
     * Reads a page of the keys with a prefix.
     *
     * @param prefix the prefix
     * @param after the key after which the page begins, empty for the first page
     * @param answer takes the page
     */
    void list(String prefix, String after, Consumer<StoreResult<StorePage>> answer);

    /**
     * Waits for changes of the keys with a prefix.
     *
     * @param prefix the prefix
     * @param afterRevision the revision after which changes are wanted
     * @param waitMillis how long to wait for a change, in milliseconds
     * @param answer takes the changes, none if the time passed
     */
    void watch(
            String prefix,
            long afterRevision,
            long waitMillis,
            Consumer<StoreResult<StoreChanges>> answer);

    /**
     * Carries out a transaction.
     *
     * @param commit the transaction
     * @param answer takes the reply; a conflict has the current items
     */
    void commit(Commit commit, Consumer<StoreResult<CommitReply>> answer);

    /**
     * Takes out a lease.
     *
     * @param lifeMillis how long it is to live, in milliseconds
     * @param answer takes the lease
     */
    void grantLease(long lifeMillis, Consumer<StoreResult<StoreLease>> answer);

    /**
     * Renews a lease.
     *
     * @param lease its number
     * @param answer takes the result, ABSENT if the lease has ended
     */
    void keepLease(long lease, Consumer<StoreResult<Boolean>> answer);

    /**
     * Ends a lease and removes its keys.
     *
     * @param lease its number
     * @param answer takes the result
     */
    void endLease(long lease, Consumer<StoreResult<Boolean>> answer);
}
