package org.damasktiller.authority.claim;

/**
 * Tells when a key was claimed.
 *
 * @param key the text of the key
 * @param claimedMillis when the claim was asked for, in milliseconds
 */
record ClaimAge(String key, long claimedMillis) {}
