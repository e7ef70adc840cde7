package org.damasktiller.scheduler.port;

/**
 * A lease of the store. The store removes the keys bound to a lease when the lease ends.
 *
 * @param id the identifier of the lease
 * @param ttlMillis the time to live, counted from the arrival of a renewal, in milliseconds
 */
public record StoreLease(long id, long ttlMillis) {}
