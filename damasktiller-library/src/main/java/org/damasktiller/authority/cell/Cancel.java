package org.damasktiller.authority.cell;

import org.damasktiller.identity.JobId;

/**
 * A caller cancels a job; answered by a {@link Reply} once the cancellation is committed.
 *
 * @param replyId the number that the reply will carry
 * @param job the job
 */
public record Cancel(long replyId, JobId job) implements CellEvent {}
