package org.damasktiller.scheduler.model;

/**
 * Limits on the HTTP requests and connections of callers.
 *
 * @param maxBodyBytes the maximum size of a request body, in bytes
 * @param idleTimeoutMillis the time after which an idle connection is closed, in milliseconds
 */
public record IngressLimits(int maxBodyBytes, long idleTimeoutMillis) {}
