package org.damasktiller.scheduler.port;

import java.util.function.Consumer;
import org.damasktiller.scheduler.model.TaskId;

/**
 * Calls to workers. Each call answers once, on the thread of the event loop, within the client's
 * timeout.
 */
public interface WorkerCalls {

    /** Stands for a lease that a call leaves as it is. */
    long NO_LEASE = -1;

    /**
     * Starts a run.
     *
     * @param worker the worker
     * @param order the order
     * @param answer takes the reply
     */
    void start(WorkerAddress worker, StartOrder order, Consumer<WorkerReply> answer);

    /**
     * Stops a run; one that has not arrived yet is refused from then on.
     *
     * @param worker the worker
     * @param task the task
     * @param run the number of the run
     * @param fencingToken the generation of the cell's owner
     * @param answer takes the reply
     */
    void stop(
            WorkerAddress worker,
            TaskId task,
            int run,
            long fencingToken,
            Consumer<WorkerReply> answer);

    /**
     * Lengthens the lease and asks what the worker runs.
     *
     * @param worker the worker
     * @param order the lease, the ends acknowledged and how long to wait for an end
     * @param answer takes the reply with the inventory
     */
    void hold(WorkerAddress worker, HoldOrder order, Consumer<WorkerReply> answer);

    /**
     * Sets the share at which a run is let work.
     *
     * @param worker the worker
     * @param task the task
     * @param run the number of the run
     * @param percent the share, 0 to 100
     * @param fencingToken the generation of the cell's owner
     * @param answer takes the reply
     */
    void pace(
            WorkerAddress worker,
            TaskId task,
            int run,
            int percent,
            long fencingToken,
            Consumer<WorkerReply> answer);
}
