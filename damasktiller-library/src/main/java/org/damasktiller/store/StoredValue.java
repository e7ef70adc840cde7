package org.damasktiller.store;

/**
 * Holds a value of the key-value service with its revision.
 *
 * @param key the key
 * @param value the bytes of the value, at most one megabyte, not to be changed
 * @param revision the store-wide number of the write that made the value, above zero
 */
@SuppressWarnings("ArrayRecordComponent")
public record StoredValue(String key, byte[] value, long revision) {}
