package org.damasktiller.authority.cell;

/**
 * Reports a committed change of a job.
 *
 * @param job the job, whose record is the new one
 * @param before the record before, equal to the new one if the job was just accepted
 */
record JobChange(Job job, JobRecord before) {}
