package org.damasktiller.scheduler.placement;

import java.util.Collection;

/** Decides which workers are kept free of new long-running tasks. */
public interface WorkerReserve {

    /** A reserve without workers. */
    WorkerReserve NONE =
            new WorkerReserve() {
                @Override
                public boolean contains(String id) {
                    return false;
                }

                @Override
                public long demandedMillicores(String id) {
                    return 0;
                }

                @Override
                public int size() {
                    return 0;
                }

                @Override
                public void update(
                        Collection<ReserveCandidate> workers,
                        long urgentMillicores,
                        long nowMillis) {}
            };

    /**
     * Returns whether a worker is in the reserve.
     *
     * @param id the identifier of the worker
     * @return whether new long-running tasks must not start there
     */
    boolean contains(String id);

    /**
     * Returns how much of a worker in the reserve recent urgent tasks have needed. The rest of it
     * is kept for urgent tasks that may come.
     *
     * @param id the identifier of the worker
     * @return the CPU, in millicores, 0 if the worker is not in the reserve
     */
    long demandedMillicores(String id);

    /**
     * Returns the size of the reserve.
     *
     * @return the number of workers
     */
    int size();

    /**
     * Adapts the reserve to the demand.
     *
     * @param workers the usable workers of the cell
     * @param urgentMillicores the CPU of the running and waiting urgent tasks, in millicores
     * @param nowMillis the current time, in milliseconds
     */
    void update(Collection<ReserveCandidate> workers, long urgentMillicores, long nowMillis);
}
