package org.damasktiller.scheduler.model;

/**
 * Limits on requests of callers.
 *
 * @param bodyBytes the largest body, in bytes
 * @param idleMillis how long a connection may be idle, in milliseconds
 */
public record IngressLimits(int bodyBytes, long idleMillis) {}
