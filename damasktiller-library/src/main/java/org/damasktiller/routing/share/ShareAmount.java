package org.damasktiller.routing.share;

import org.damasktiller.identity.EndpointId;

/**
 * Grants slots of one endpoint, beyond the fixed part.
 *
 * @param endpoint the endpoint
 * @param slots the number of slots
 */
public record ShareAmount(EndpointId endpoint, int slots) {}
