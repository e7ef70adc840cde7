package org.damasktiller.scheduler.model;

import java.util.List;

/**
 * The runs that a worker reports: those in progress and those whose end is not yet acknowledged.
 *
 * @param running the active runs
 * @param ended the ended runs that have not been acknowledged, in the order of their sequence
 *     numbers
 */
public record Inventory(List<ActiveRun> running, List<EndedRun> ended) {

    /** Makes immutable copies of the lists. */
    public Inventory {
        running = List.copyOf(running);
        ended = List.copyOf(ended);
    }
}
