package org.damasktiller.authority.claim;

/**
 * Asks the owner of the shard for the claim; its answer is passed back, or its failure ignored.
 *
 * @param key what to claim
 * @param nonce the try
 */
public record AskShard(ClaimKey key, ClaimNonce nonce) implements ForwarderAction {}
