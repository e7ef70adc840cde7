package org.damasktiller.decision.placement;

/** Scores a worker that has room for a job. */
public interface PlacementScore {

    /**
     * Returns the cost of running a job on a worker.
     *
     * @param kind the number of the kind of the job
     * @param request the request
     * @param worker the worker
     * @return the cost, lower is better; infinite if the job must not run there
     */
    double cost(int kind, PlacementRequest request, WorkerState worker);
}
