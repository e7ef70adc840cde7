package org.damasktiller.authority.claim;

/**
 * Replies to a forwarder.
 *
 * @param replyId the number of the {@link AskClaim}
 * @param answer the answer
 */
public record ClaimReply(long replyId, ClaimAnswer answer) implements ClaimAction {}
