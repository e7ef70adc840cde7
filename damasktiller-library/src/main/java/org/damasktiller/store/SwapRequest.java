package org.damasktiller.store;

import org.jspecify.annotations.Nullable;

/**
 * Asks the key-value service for one compare-and-swap on one key.
 *
 * @param key the key to write
 * @param expectedRevision the revision that the key must have, or zero if it must be absent
 * @param value the new bytes, or null to delete the key
 */
@SuppressWarnings("ArrayRecordComponent")
public record SwapRequest(String key, long expectedRevision, byte @Nullable [] value) {}
