package org.damasktiller.scheduler.model;

/**
 * A run that a worker reports as ended. The worker reports it until it is acknowledged.
 *
 * @param sequence the position in the order in which runs ended since the worker booted, from 1;
 *     acknowledgements refer to it
 * @param task the task
 * @param run the number of the run among the runs of the task
 * @param kind why the run ended
 * @param checkpoint the saved progress from which another run can resume, empty if there is none
 */
public record EndedRun(long sequence, TaskId task, int run, EndKind kind, String checkpoint) {}
