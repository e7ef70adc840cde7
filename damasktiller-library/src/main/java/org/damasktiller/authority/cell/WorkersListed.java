package org.damasktiller.authority.cell;

import java.util.List;

/**
 * The platform's list was read. A worker that is missing from the list is taken as it was: only a
 * line of state GONE proves that nothing runs on it.
 *
 * @param workers the workers of the cell
 */
public record WorkersListed(List<CellWorker> workers) implements CellEvent {

    /** Copies the list. */
    public WorkersListed {
        workers = List.copyOf(workers);
    }
}
