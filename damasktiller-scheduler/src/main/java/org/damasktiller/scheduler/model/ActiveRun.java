package org.damasktiller.scheduler.model;

/**
 * A run that a worker reports as active.
 *
 * @param task the task
 * @param run the number of the run among the runs of the task
 * @param checkpoint the saved progress from which another run can resume, empty if there is none
 * @param progressPercent the completed share of the run's work, in percent; 100 for a long-running
 *     task that is operational
 * @param load the tail latency in milliseconds for a task that serves users, the processors in use
 *     in thousandths of a core for any other task; negative if not reported
 */
public record ActiveRun(TaskId task, int run, String checkpoint, int progressPercent, long load) {}
