package org.damasktiller.worker;

import java.util.List;

/**
 * Lists every attempt that a worker knows of.
 *
 * @param running the running attempts
 * @param stopped the stopped attempts that were not yet acknowledged
 * @param finished the finished attempts that were not yet acknowledged
 */
public record Inventory(
        List<RunningTask> running, List<StoppedTask> stopped, List<FinishedTask> finished) {

    /** The inventory of a worker without any attempt. */
    public static final Inventory EMPTY = new Inventory(List.of(), List.of(), List.of());

    /** Copies the lists. */
    public Inventory {
        running = List.copyOf(running);
        stopped = List.copyOf(stopped);
        finished = List.copyOf(finished);
    }
}
