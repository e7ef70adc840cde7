package org.damasktiller.scheduler.port;

import java.util.List;

/**
 * What the store says of a transaction.
 *
 * @param revision the revision of the changes, zero if none were made
 * @param current the current items of the conditions that may not hold; keys that do not exist are
 *     left out
 */
public record CommitReply(long revision, List<StoreItem> current) {

    /** Copies the items. */
    public CommitReply {
        current = List.copyOf(current);
    }

    /**
     * Returns the current revision of a key after a conflict.
     *
     * @param key the key
     * @return its revision, zero if it does not exist
     */
    public long currentRevision(String key) {
        return current.stream()
                .filter(item -> item.key().equals(key))
                .mapToLong(StoreItem::revision)
                .findFirst()
                .orElse(StoreItem.ABSENT);
    }
}
