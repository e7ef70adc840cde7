package org.damasktiller.daemon.operator;

/**
 * Answers a request to drain.
 *
 * @param vm the entry VM that drains
 * @param readiness its state
 * @param inFlight the number of requests in flight
 */
public record DrainBody(String vm, String readiness, int inFlight) {}
