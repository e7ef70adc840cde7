package org.damasktiller.authority.claim;

/**
 * A forwarder gives a claim back: it has not sent the request and never will under this nonce.
 *
 * @param key what was claimed
 * @param nonce the try of the forwarder
 */
public record ReleaseClaim(ClaimKey key, ClaimNonce nonce) implements ClaimEvent {}
