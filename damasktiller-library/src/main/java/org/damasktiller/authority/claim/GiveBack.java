package org.damasktiller.authority.claim;

/**
 * Tells the owner of the shard that the request was not sent and never will be under this nonce.
 *
 * @param key what was claimed
 * @param nonce the try
 */
public record GiveBack(ClaimKey key, ClaimNonce nonce) implements ForwarderAction {}
