package org.damasktiller.scheduler.cell;

import java.util.Map;
import java.util.TreeMap;

/**
 * The stored pending counts of a cell: how many submissions of each route wait for their first
 * start.
 *
 * @param byRoute the counts by route name; a route without waiting submissions has no entry
 */
public record PendingRecord(Map<String, Integer> byRoute) {

    /** Copies the counts, sorted by route name. */
    public PendingRecord {
        byRoute = new TreeMap<>(byRoute);
    }
}
