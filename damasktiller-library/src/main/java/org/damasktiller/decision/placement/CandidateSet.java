package org.damasktiller.decision.placement;

import java.util.ArrayList;
import java.util.List;
import org.damasktiller.resource.Resources;

/** Gathers a bounded number of workers that have room for one request. */
final class CandidateSet {

    /** The workers gathered so far. */
    private final List<WorkerState> workers = new ArrayList<>();

    /** What must be free on a worker. */
    private Resources needed = Resources.NONE;

    /** The number of workers at which the gathering ends. */
    private int limit;

    /** Creates an empty set. */
    CandidateSet() {}

    /**
     * Empties the set for a new request.
     *
     * @param newNeeded what must be free on a worker
     */
    void reset(Resources newNeeded) {
        needed = newNeeded;
        limit = 0;
        workers.clear();
    }

    /**
     * Allows more workers to be gathered.
     *
     * @param more how many more
     */
    void allow(int more) {
        limit = workers.size() + more;
    }

    /**
     * Adds a worker if it has room and is not in the set yet.
     *
     * @param worker the worker
     */
    void offer(WorkerState worker) {
        if (needed.fitsWithin(worker.free()) && !workers.contains(worker)) {
            workers.add(worker);
        }
    }

    /**
     * Tells whether enough workers are gathered.
     *
     * @return whether the set is full
     */
    boolean full() {
        return workers.size() >= limit;
    }

    /**
     * Returns what must be free on a worker.
     *
     * @return the amount
     */
    Resources needed() {
        return needed;
    }

    /**
     * Returns the workers gathered.
     *
     * @return the workers
     */
    List<WorkerState> workers() {
        return workers;
    }
}
