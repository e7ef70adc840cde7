package org.damasktiller.store;

/**
 * Holds a value read from the key-value service and its revision.
 *
 * @param key the key
 * @param value the bytes of the value, at most one megabyte; callers must not modify the array
 * @param revision the store-wide number of the write that set the value, above zero
 */
@SuppressWarnings("ArrayRecordComponent")
public record StoredValue(String key, byte[] value, long revision) {}
