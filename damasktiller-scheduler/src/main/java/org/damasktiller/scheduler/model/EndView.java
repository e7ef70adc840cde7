package org.damasktiller.scheduler.model;

/**
 * A run that a worker lists as ended.
 *
 * @param sequence the number of the end in the worker's boot, from 1
 * @param task the task
 * @param run the number of the run
 * @param kind how it ended
 * @param checkpoint the saved progress, empty for none
 */
public record EndView(long sequence, TaskId task, int run, EndKind kind, String checkpoint) {}
