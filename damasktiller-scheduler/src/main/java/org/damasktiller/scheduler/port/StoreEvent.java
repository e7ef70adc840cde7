package org.damasktiller.scheduler.port;

import org.jspecify.annotations.Nullable;

/**
 * A write or removal of an item of the store.
 *
 * @param key the key of the item
 * @param revision the revision of the change
 * @param item the item as written, or null if it was removed
 */
public record StoreEvent(String key, long revision, @Nullable StoreItem item) {}
