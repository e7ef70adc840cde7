package org.damasktiller.scheduler.port;

import java.util.List;

/**
 * The changes that a watch returned.
 *
 * @param events the changes, in order
 * @param storeRevision the revision from which to go on
 */
public record StoreChanges(List<StoreEvent> events, long storeRevision) {

    /** Copies the events. */
    public StoreChanges {
        events = List.copyOf(events);
    }
}
