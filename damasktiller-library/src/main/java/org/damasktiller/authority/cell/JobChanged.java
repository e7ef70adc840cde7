package org.damasktiller.authority.cell;

/**
 * Reports a committed change of a job, for logs and metrics.
 *
 * @param status the state of the job after the change
 */
public record JobChanged(JobStatus status) implements CellAction {}
