package org.damasktiller.authority.cell;

import org.damasktiller.identity.JobId;

/**
 * A caller asks for the state of a job; answered at once by a {@link Reply}.
 *
 * @param replyId the number that the reply will carry
 * @param job the job
 */
public record Query(long replyId, JobId job) implements CellEvent {}
