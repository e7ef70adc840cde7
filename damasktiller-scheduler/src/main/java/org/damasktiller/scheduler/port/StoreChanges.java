package org.damasktiller.scheduler.port;

import java.util.List;

/**
 * The changes returned by a watch.
 *
 * @param events the changes, in the order of their revisions
 * @param storeRevision the revision after which the next watch continues
 */
public record StoreChanges(List<StoreEvent> events, long storeRevision) {

    /** Makes an immutable copy of the events. */
    public StoreChanges {
        events = List.copyOf(events);
    }
}
