package org.damasktiller.scheduler.model;

/**
 * Limits on the HTTP requests and connections of callers.
 *
 * @param bodyBytes the maximum size of a request body, in bytes
 * @param idleMillis the time after which an idle connection is closed, in milliseconds
 */
public record IngressLimits(int bodyBytes, long idleMillis) {}
