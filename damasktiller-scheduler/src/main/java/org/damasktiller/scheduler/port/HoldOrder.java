package org.damasktiller.scheduler.port;

/**
 * An order to lengthen a worker's lease and to list what it runs.
 *
 * @param leaseUntilMillis the new end of the lease on the worker's clock, in milliseconds, or
 *     {@link WorkerCalls#NO_LEASE}
 * @param fencingToken the generation of the cell's owner
 * @param acknowledged the number of the last end that the worker may forget
 * @param waitMillis how long the answer may wait for an end, in milliseconds
 */
public record HoldOrder(
        long leaseUntilMillis, long fencingToken, long acknowledged, long waitMillis) {}
