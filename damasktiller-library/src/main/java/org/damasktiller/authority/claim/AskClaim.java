package org.damasktiller.authority.claim;

/**
 * A forwarder asks to have a request granted to it.
 *
 * @param replyId the number under which to reply, once
 * @param key what is claimed
 * @param nonce the try of the forwarder, the same when it asks again
 */
public record AskClaim(long replyId, ClaimKey key, ClaimNonce nonce) implements ClaimEvent {}
