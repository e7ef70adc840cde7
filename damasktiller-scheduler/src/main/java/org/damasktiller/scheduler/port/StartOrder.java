package org.damasktiller.scheduler.port;

import org.damasktiller.scheduler.model.TaskId;

/**
 * An order to start a run.
 *
 * @param task the task
 * @param run the number of the run
 * @param payload the text of the submission
 * @param leaseUntilMillis until when the worker may run anything, on its own clock, in milliseconds
 * @param fencingToken the generation of the cell's owner
 * @param checkpoint the saved progress to resume from, empty for none
 * @param ticket the ticket of the advice service, empty for none
 */
public record StartOrder(
        TaskId task,
        int run,
        String payload,
        long leaseUntilMillis,
        long fencingToken,
        String checkpoint,
        String ticket) {}
