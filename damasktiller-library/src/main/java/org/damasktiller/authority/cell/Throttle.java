package org.damasktiller.authority.cell;

import org.damasktiller.identity.JobId;

/**
 * A running job has to change its speed. Ignored for jobs that do not run.
 *
 * @param job the job
 * @param speedPercent the allowed speed, 1 to 100 percent
 */
public record Throttle(JobId job, int speedPercent) implements CellEvent {}
