package org.damasktiller.scheduler.port;

import org.jspecify.annotations.Nullable;

/**
 * A linearizable reading of one key.
 *
 * @param item the item, or null if the key does not exist
 * @param storeRevision the revision of the store at the time of the answer, zero if not told
 */
public record StoreReading(@Nullable StoreItem item, long storeRevision) {}
