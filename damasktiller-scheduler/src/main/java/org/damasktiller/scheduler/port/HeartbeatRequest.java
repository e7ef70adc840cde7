package org.damasktiller.scheduler.port;

/**
 * A request that renews a worker's lease, acknowledges ended runs and asks for the worker's runs.
 *
 * @param leaseUntilMillis when the lease expires on the worker's clock, in milliseconds, or {@link
 *     WorkerClient#LEASE_UNCHANGED} to leave the lease unchanged
 * @param fencingToken the generation of the cell's owner, used as a fencing token
 * @param acknowledgedSequence the sequence number of the last ended run that the worker may
 *     discard; 0 acknowledges none
 * @param waitMillis how long the worker may delay the reply until a run ends, in milliseconds; 0
 *     for an immediate reply
 */
public record HeartbeatRequest(
        long leaseUntilMillis, long fencingToken, long acknowledgedSequence, long waitMillis) {}
