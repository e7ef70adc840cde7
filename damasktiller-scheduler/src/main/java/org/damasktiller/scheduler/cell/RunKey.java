package org.damasktiller.scheduler.cell;

import org.damasktiller.scheduler.model.TaskId;

/**
 * Identifies a run of a task.
 *
 * @param task the identifier of the task
 * @param run the number of the run, which rises with each run of the task
 */
record RunKey(TaskId task, int run) {}
