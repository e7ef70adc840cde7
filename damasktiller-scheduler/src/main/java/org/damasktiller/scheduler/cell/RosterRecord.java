package org.damasktiller.scheduler.cell;

import java.util.List;

/**
 * The workers that may run something for a cell.
 *
 * @param workers their identifiers
 */
public record RosterRecord(List<String> workers) {

    /** Copies the identifiers. */
    public RosterRecord {
        workers = List.copyOf(workers);
    }
}
