package org.damasktiller.scheduler.port;

import java.util.function.Consumer;
import org.damasktiller.scheduler.model.TaskId;

/**
 * Client of the workers. Each call invokes its consumer exactly once, on the thread of the event
 * loop and within the client's timeout.
 *
 * <p>Each call carries the generation of the cell's owner as a fencing token. A worker refuses
 * calls whose token is lower than the highest that it has seen.
 */
public interface WorkerClient {

    /** The value of {@link HeartbeatRequest#leaseUntilMillis} that leaves the lease unchanged. */
    long LEASE_UNCHANGED = -1;

    /**
     * Starts a run. Repeating the call for a run that is active has no effect.
     *
     * @param worker the worker
     * @param request the run to start
     * @param callback receives the reply
     */
    void start(WorkerAddress worker, StartRequest request, Consumer<WorkerReply> callback);

    /**
     * Stops a run. If its start has not reached the worker yet, the worker will refuse that start.
     *
     * @param worker the worker
     * @param task the task
     * @param run the number of the run
     * @param fencingToken the generation of the cell's owner
     * @param callback receives the reply
     */
    void stop(
            WorkerAddress worker,
            TaskId task,
            int run,
            long fencingToken,
            Consumer<WorkerReply> callback);

    /**
     * Renews the lease, acknowledges ended runs and asks for the worker's runs.
     *
     * @param worker the worker
     * @param request the lease, the acknowledgement and how long to wait for a run to end
     * @param callback receives the reply with the inventory
     */
    void heartbeat(WorkerAddress worker, HeartbeatRequest request, Consumer<WorkerReply> callback);

    /**
     * Limits the processor time of a run, so that it does not slow other tasks of the worker.
     *
     * @param worker the worker
     * @param task the task
     * @param run the number of the run
     * @param percent the share of the task's processor demand that the run may use, 0 to 100; 0
     *     pauses the run
     * @param fencingToken the generation of the cell's owner
     * @param callback receives the reply
     */
    void throttle(
            WorkerAddress worker,
            TaskId task,
            int run,
            int percent,
            long fencingToken,
            Consumer<WorkerReply> callback);
}
