package org.damasktiller.authority.call;

/**
 * Answers the request for a lease.
 *
 * @param leaseId the number of the lease
 */
public record LeaseGrantedAnswer(long leaseId) implements StoreAnswer {}
