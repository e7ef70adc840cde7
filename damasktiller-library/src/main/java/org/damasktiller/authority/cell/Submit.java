package org.damasktiller.authority.cell;

/**
 * A caller submits a job; answered by a {@link Reply}.
 *
 * @param replyId the number that the reply will carry
 * @param submission the job
 */
public record Submit(long replyId, JobSubmission submission) implements CellEvent {}
