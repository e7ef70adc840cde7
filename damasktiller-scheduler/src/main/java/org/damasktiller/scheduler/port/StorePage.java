package org.damasktiller.scheduler.port;

import java.util.List;

/**
 * A page of a listing.
 *
 * @param items the items, ordered by key
 * @param hasMore whether there are further items after this page
 * @param storeRevision the revision of the store when the page was read
 */
public record StorePage(List<StoreItem> items, boolean hasMore, long storeRevision) {

    /** Makes an immutable copy of the items. */
    public StorePage {
        items = List.copyOf(items);
    }
}
