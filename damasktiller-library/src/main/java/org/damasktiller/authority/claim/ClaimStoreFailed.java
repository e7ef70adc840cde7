package org.damasktiller.authority.claim;

/**
 * A call to the key-value service failed; a write may have taken effect or may yet.
 *
 * @param callId the number of the {@link ClaimStoreRequest}
 */
public record ClaimStoreFailed(long callId) implements ClaimEvent {}
