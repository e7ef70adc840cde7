package org.damasktiller.scheduler.port;

import java.util.List;
import org.jspecify.annotations.Nullable;

/**
 * The reply of the store to a transaction.
 *
 * @param revision the revision of the changes, or 0 if nothing was changed
 * @param currentItems after a conflict, the current items of the keys that have conditions; keys
 *     that do not exist are omitted
 */
public record CommitReply(long revision, List<StoreItem> currentItems) {

    /** Makes an immutable copy of the items. */
    public CommitReply {
        currentItems = List.copyOf(currentItems);
    }

    /**
     * Returns the current item of a key after a conflict.
     *
     * @param key the key
     * @return the item, or null if the reply has none
     */
    public @Nullable StoreItem currentItem(String key) {
        return currentItems.stream()
                .filter(item -> item.key().equals(key))
                .findFirst()
                .orElse(null);
    }

    /**
     * Returns the current revision of a key after a conflict.
     *
     * @param key the key
     * @return the revision, or {@link StoreItem#ABSENT} if the key does not exist
     */
    public long currentRevision(String key) {
        return currentItems.stream()
                .filter(item -> item.key().equals(key))
                .mapToLong(StoreItem::revision)
                .findFirst()
                .orElse(StoreItem.ABSENT);
    }
}
