package org.damasktiller.scheduler.port;

import org.damasktiller.scheduler.model.TaskId;

/**
 * A request that starts a run of a task on a worker.
 *
 * @param task the task
 * @param run the number of the run among the runs of the task
 * @param payload the payload of the submission
 * @param leaseUntilMillis when the worker's lease expires on the worker's clock, in milliseconds;
 *     the lease covers all runs of the worker
 * @param fencingToken the generation of the cell's owner, used as a fencing token
 * @param checkpoint the saved progress to resume from, empty if there is none
 * @param ticket the ticket issued by the advice service, empty if the queue needs none
 */
public record StartRequest(
        TaskId task,
        int run,
        String payload,
        long leaseUntilMillis,
        long fencingToken,
        String checkpoint,
        String ticket) {}
