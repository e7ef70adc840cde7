package org.damasktiller.scheduler.cell;

import org.damasktiller.scheduler.model.TaskId;

/**
 * Names a run of a task.
 *
 * @param task the task
 * @param run the number of the run
 */
record RunKey(TaskId task, int run) {}
