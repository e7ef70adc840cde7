package org.damasktiller.authority.cell;

/**
 * Tells the committed state of a job.
 *
 * @param status the state
 */
public record JobAnswer(JobStatus status) implements JobReply {}
