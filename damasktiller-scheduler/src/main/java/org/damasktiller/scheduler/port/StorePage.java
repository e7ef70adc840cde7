package org.damasktiller.scheduler.port;

import java.util.List;

/**
 * A page of items, in the order of their keys.
 *
 * @param items the items
 * @param more whether items follow after the last one
 * @param storeRevision the revision of the store at the time of the answer
 */
public record StorePage(List<StoreItem> items, boolean more, long storeRevision) {

    /** Copies the items. */
    public StorePage {
        items = List.copyOf(items);
    }
}
