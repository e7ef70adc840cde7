package org.damasktiller.scheduler.port;

/**
 * A key of the store with its value and revisions.
 *
 * @param key the key
 * @param value the stored bytes
 * @param revision the revision of the last write
 * @param createdRevision the revision of the write that created the item
 */
@SuppressWarnings("ArrayRecordComponent")
public record StoreItem(String key, byte[] value, long revision, long createdRevision) {

    /** The revision that represents a key that does not exist. */
    public static final long ABSENT = 0;

    /**
     * Returns the item without its value, which may be long.
     *
     * @return the key with the revisions and an empty value
     */
    public StoreItem withoutValue() {
        return new StoreItem(key, new byte[0], revision, createdRevision);
    }
}
