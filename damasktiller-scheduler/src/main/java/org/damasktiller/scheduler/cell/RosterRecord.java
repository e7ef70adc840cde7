package org.damasktiller.scheduler.cell;

import java.util.List;

/**
 * The stored roster of a cell: the workers that may run tasks for its current or previous owners. A
 * successor reads it to learn which workers it has to fence.
 *
 * @param workers the identifiers of the workers
 */
public record RosterRecord(List<String> workers) {

    /** Copies the identifiers. */
    public RosterRecord {
        workers = List.copyOf(workers);
    }
}
