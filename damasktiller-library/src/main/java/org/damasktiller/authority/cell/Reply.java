package org.damasktiller.authority.cell;

/**
 * Answers a caller.
 *
 * @param replyId the number given by the event that asked
 * @param reply the answer
 */
public record Reply(long replyId, JobReply reply) implements CellAction {}
