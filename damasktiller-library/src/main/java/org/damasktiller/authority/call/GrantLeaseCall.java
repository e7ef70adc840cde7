package org.damasktiller.authority.call;

/**
 * Asks for a new lease; answered by a {@link LeaseGrantedAnswer}.
 *
 * @param durationMillis how long the lease lasts without a renewal, in milliseconds
 */
public record GrantLeaseCall(long durationMillis) implements StoreCall {}
