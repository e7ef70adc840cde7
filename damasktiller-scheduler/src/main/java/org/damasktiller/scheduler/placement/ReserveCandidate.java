package org.damasktiller.scheduler.placement;

/**
 * A worker that may be kept free of long-running tasks.
 *
 * @param id the identifier of the worker
 * @param capacityMillicores the CPU of the worker, in millicores
 * @param longRunningMillicores the CPU that long-running tasks reserve on it, in millicores
 */
public record ReserveCandidate(String id, long capacityMillicores, long longRunningMillicores) {}
