package org.damasktiller.scheduler.port;

import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.Map;
import java.util.Set;

/** A transaction of the store: all of its changes are made if each condition holds, else none. */
public final class Commit {

    /** The revision that each key must have. */
    private final Map<String, Long> expected = new LinkedHashMap<>();

    /** The values to write. */
    private final Map<String, Write> writes = new LinkedHashMap<>();

    /** The keys to remove. */
    private final Set<String> removals = new LinkedHashSet<>();

    /** Creates an empty transaction. */
    public Commit() {}

    /**
     * Adds a condition.
     *
     * @param key the key
     * @param revision the revision that the key must have, zero if it must not exist
     * @return this transaction
     */
    public Commit expect(String key, long revision) {
        expected.put(key, revision);
        return this;
    }

    /**
     * Adds a value that stays.
     *
     * @param key the key
     * @param value the value
     * @return this transaction
     */
    public Commit put(String key, byte[] value) {
        return put(key, value, 0);
    }

    /**
     * Adds a value that goes when a lease ends.
     *
     * @param key the key
     * @param value the value
     * @param lease the number of the lease, zero for none
     * @return this transaction
     */
    public Commit put(String key, byte[] value, long lease) {
        writes.put(key, new Write(value, lease));
        return this;
    }

    /**
     * Adds a removal.
     *
     * @param key the key
     * @return this transaction
     */
    public Commit remove(String key) {
        removals.add(key);
        return this;
    }

    /**
     * Returns the conditions.
     *
     * @return the revision that each key must have
     */
    public Map<String, Long> expected() {
        return expected;
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
     * A value to write.
     *
     * @param value the value
     * @param lease the number of the lease, zero for none
     */
    @SuppressWarnings("ArrayRecordComponent")
    public record Write(byte[] value, long lease) {}
}
