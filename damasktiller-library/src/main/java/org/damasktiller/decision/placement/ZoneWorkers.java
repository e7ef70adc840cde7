package org.damasktiller.decision.placement;

import java.util.ArrayList;
import java.util.List;
import java.util.random.RandomGenerator;

/** Keeps the workers of one availability zone; those with free accelerators stand apart. */
final class ZoneWorkers {

    /** All workers of the zone. */
    private final List<WorkerState> all = new ArrayList<>();

    /** The available workers without free accelerators. */
    private final FreeSpaceGrid plain = new FreeSpaceGrid();

    /** The available workers with free accelerators. */
    private final FreeSpaceGrid accelerated = new FreeSpaceGrid();

    /** Creates an empty zone. */
    ZoneWorkers() {}

    /**
     * Returns all workers of the zone, available or not.
     *
     * @return the workers
     */
    List<WorkerState> all() {
        return all;
    }

    /**
     * Adds an available worker to the index of free space.
     *
     * @param worker the worker
     */
    void index(WorkerState worker) {
        if (worker.available()) {
            gridOf(worker).add(worker);
        }
    }

    /**
     * Takes a worker out of the index, before its free space or availability changes.
     *
     * @param worker the worker
     */
    void unindex(WorkerState worker) {
        if (worker.cell() >= 0) {
            gridOf(worker).remove(worker);
        }
    }

    /**
     * Gathers workers with room. Accelerators are left to jobs that ask for them while others have
     * room.
     *
     * @param candidates the set to fill
     * @param more how many more to gather
     * @param random the source of randomness
     */
    void gather(CandidateSet candidates, int more, RandomGenerator random) {
        int before = candidates.workers().size();
        if (candidates.needed().accelerators() == 0) {
            plain.gather(candidates, more, random);
        }
        if (candidates.workers().size() == before) {
            accelerated.gather(candidates, more, random);
        }
    }

    /**
     * Returns the index that a worker belongs to.
     *
     * @param worker the worker
     * @return the index
     */
    private FreeSpaceGrid gridOf(WorkerState worker) {
        return worker.free().accelerators() > 0 ? accelerated : plain;
    }
}
