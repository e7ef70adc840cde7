package org.damasktiller.scheduler.model;

import java.util.List;

/**
 * What a worker runs and which ends it keeps.
 *
 * @param running the active runs
 * @param ended the ends that have not been acknowledged, in order
 */
public record Inventory(List<RunView> running, List<EndView> ended) {

    /** Copies the lists. */
    public Inventory {
        running = List.copyOf(running);
        ended = List.copyOf(ended);
    }
}
