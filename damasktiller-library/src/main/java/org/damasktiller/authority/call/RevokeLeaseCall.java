package org.damasktiller.authority.call;

/**
 * Revokes a lease and deletes its keys; answered by a {@link LeaseRevokedAnswer}.
 *
 * @param leaseId the lease
 */
public record RevokeLeaseCall(long leaseId) implements StoreCall {}
