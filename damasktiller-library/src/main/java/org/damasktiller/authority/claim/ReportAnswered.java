package org.damasktiller.authority.claim;

/**
 * Tells the owner of the shard that the request was answered.
 *
 * @param key what was claimed
 * @param nonce the try
 */
public record ReportAnswered(ClaimKey key, ClaimNonce nonce) implements ForwarderAction {}
