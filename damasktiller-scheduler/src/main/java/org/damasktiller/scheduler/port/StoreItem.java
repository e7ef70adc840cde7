package org.damasktiller.scheduler.port;

/**
 * An item of the store.
 *
 * @param key its key
 * @param value its value
 * @param revision the revision of its last change
 * @param created the revision of its creation
 */
@SuppressWarnings("ArrayRecordComponent")
public record StoreItem(String key, byte[] value, long revision, long created) {

    /** The revision that stands for a key that does not exist. */
    public static final long ABSENT = 0;
}
