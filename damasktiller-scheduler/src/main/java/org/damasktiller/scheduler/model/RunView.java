package org.damasktiller.scheduler.model;

/**
 * A run that a worker lists as active.
 *
 * @param task the task
 * @param run the number of the run
 * @param checkpoint the saved progress, empty for none
 * @param progressPercent how much of its work the run has done; 100 for a lasting task at work
 * @param load for a serving task the tail of its response times in milliseconds, for others the
 *     processors in use in thousandths of a core; negative if not told
 */
public record RunView(TaskId task, int run, String checkpoint, int progressPercent, long load) {}
