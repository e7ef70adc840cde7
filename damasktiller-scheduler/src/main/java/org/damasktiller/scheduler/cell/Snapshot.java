package org.damasktiller.scheduler.cell;

import java.util.List;
import java.util.function.Consumer;
import org.damasktiller.scheduler.port.StoreItem;

/**
 * All items of a watched prefix as they were listed. Listeners see the items one by one, so that an
 * item that a listener can't handle keeps no other one from it.
 */
public final class Snapshot {

    /** The items, in the order of their keys. */
    private final List<StoreItem> items;

    /** The highest revision of the pages. */
    private final long highestRevision;

    /** Skips the items for which the listener fails. */
    private final ItemGuard guard;

    /**
     * Creates a snapshot.
     *
     * @param items the items, in the order of their keys
     * @param highestRevision the highest revision of the pages
     * @param guard skips the items for which the listener fails
     */
    Snapshot(List<StoreItem> items, long highestRevision, ItemGuard guard) {
        this.items = List.copyOf(items);
        this.highestRevision = highestRevision;
        this.guard = guard;
    }

    /**
     * Returns the highest revision of the pages. Changes up to it may be reported although the
     * items already contain them.
     *
     * @return the revision
     */
    public long highestRevision() {
        return highestRevision;
    }

    /**
     * Handles the items in the order of their keys. One for which the action fails is logged and
     * skipped.
     *
     * @param action handles an item
     */
    public void forEach(Consumer<StoreItem> action) {
        for (StoreItem item : items) {
            guard.run(item.key(), item.revision(), () -> action.accept(item));
        }
    }
}
