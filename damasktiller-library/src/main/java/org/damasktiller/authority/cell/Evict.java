package org.damasktiller.authority.cell;

import org.damasktiller.identity.JobId;

/**
 * A running job has to make room; it continues from a checkpoint later. Ignored for jobs that do
 * not run or must not be started twice.
 *
 * @param job the job
 */
public record Evict(JobId job) implements CellEvent {}
