package org.damasktiller.authority.call;

/**
 * Renews a lease; answered by a {@link LeaseRenewedAnswer}.
 *
 * @param leaseId the lease
 */
public record RenewLeaseCall(long leaseId) implements StoreCall {}
