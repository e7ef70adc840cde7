package org.damasktiller.routing;

/**
 * Holds one attempt that is under way.
 *
 * @param id identifies the attempt within the router
 * @param endpoint the endpoint
 * @param sentMillis when it began, in milliseconds
 * @param timeoutMillis when it is given up, in milliseconds
 */
record Attempt(long id, EndpointState endpoint, long sentMillis, long timeoutMillis) {}
