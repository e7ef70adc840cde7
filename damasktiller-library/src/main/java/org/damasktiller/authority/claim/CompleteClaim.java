package org.damasktiller.authority.claim;

/**
 * A forwarder reports that the request was answered.
 *
 * @param key what was claimed
 * @param nonce the try of the forwarder
 */
public record CompleteClaim(ClaimKey key, ClaimNonce nonce) implements ClaimEvent {}
