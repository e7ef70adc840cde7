package org.damasktiller.scheduler.cell;

import java.util.Map;
import java.util.TreeMap;

/**
 * How many submissions of each route wait for their first start in a cell.
 *
 * @param byRoute the counts by the name of the route
 */
public record PendingRecord(Map<String, Integer> byRoute) {

    /** Copies the counts. */
    public PendingRecord {
        byRoute = new TreeMap<>(byRoute);
    }
}
