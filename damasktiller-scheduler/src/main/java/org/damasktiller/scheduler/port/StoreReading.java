package org.damasktiller.scheduler.port;

import org.jspecify.annotations.Nullable;

/**
 * The result of a linearizable read of one key.
 *
 * @param item the item, or null if the key does not exist
 * @param storeRevision the revision of the store when the key was read, or 0 if not reported
 */
public record StoreReading(@Nullable StoreItem item, long storeRevision) {}
