package org.damasktiller.peer;

import org.damasktiller.identity.EndpointId;

/**
 * Tells whether an endpoint must receive no new work.
 *
 * @param endpoint the endpoint
 * @param stamp orders the marks of one endpoint
 * @param leaving whether it must receive no new work
 */
public record EndpointMark(EndpointId endpoint, long stamp, boolean leaving) {}
