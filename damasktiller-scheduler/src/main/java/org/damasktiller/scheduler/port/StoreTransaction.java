package org.damasktiller.scheduler.port;

import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.Map;
import java.util.Set;

/**
 * A transaction of the store. The store applies all writes and removals atomically if every
 * expected revision matches, and none of them otherwise.
 */
public final class StoreTransaction {

    /** The expected revisions by key, in the order in which they were added. */
    private final Map<String, Long> expectedRevisions = new LinkedHashMap<>();

    /** The values to write by key, in the order in which they were added. */
    private final Map<String, Write> writes = new LinkedHashMap<>();

    /** The keys to remove, in the order in which they were added. */
    private final Set<String> removals = new LinkedHashSet<>();

    /** Creates an empty transaction. */
    public StoreTransaction() {}

    /**
     * Adds the condition that a key has a certain revision.
     *
     * @param key the key
     * @param revision the expected revision, or 0 if the key must not exist
     * @return this transaction
     */
    public StoreTransaction expectRevision(String key, long revision) {
        expectedRevisions.put(key, revision);
        return this;
    }

    /**
     * Adds a write of a value that is not bound to a lease.
     *
     * @param key the key
     * @param value the value
     * @return this transaction
     */
    public StoreTransaction put(String key, byte[] value) {
        return put(key, value, 0);
    }

    /**
     * Adds a write of a value that the store removes when a lease ends.
     *
     * @param key the key
     * @param value the value
     * @param lease the identifier of the lease, or 0 for none
     * @return this transaction
     */
    public StoreTransaction put(String key, byte[] value, long lease) {
        writes.put(key, new Write(value, lease));
        return this;
    }

    /**
     * Adds the removal of a key.
     *
     * @param key the key
     * @return this transaction
     */
    public StoreTransaction remove(String key) {
        removals.add(key);
        return this;
    }

    /**
     * Returns the conditions of the transaction.
     *
     * @return the expected revisions by key, 0 for a key that must not exist
     */
    public Map<String, Long> expectedRevisions() {
        return expectedRevisions;
    }

    /**
     * Returns the values to write.
     *
     * @return the values by key
     */
    public Map<String, Write> writes() {
        return writes;
    }

    /**
     * Returns the keys to remove.
     *
     * @return the keys
     */
    public Set<String> removals() {
        return removals;
    }

    /**
     * A value to write, with the lease that it is bound to.
     *
     * @param value the value
     * @param lease the identifier of the lease, or 0 for none
     */
    @SuppressWarnings("ArrayRecordComponent")
    public record Write(byte[] value, long lease) {}
}
