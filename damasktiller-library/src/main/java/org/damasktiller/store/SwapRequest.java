package org.damasktiller.store;

import org.jspecify.annotations.Nullable;

/**
 * Requests a compare-and-swap of one key of the key-value service.
 *
 * @param key the key to write
 * @param expectedRevision the revision that the key must have, or 0 if the key must be absent
 * @param value the new value, or null to delete the key
 */
@SuppressWarnings("ArrayRecordComponent")
public record SwapRequest(String key, long expectedRevision, byte @Nullable [] value) {}
