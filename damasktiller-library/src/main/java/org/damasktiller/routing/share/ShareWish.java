package org.damasktiller.routing.share;

import org.damasktiller.identity.EndpointId;

/**
 * Tells what a member holds and wants of one endpoint, beyond its fixed part.
 *
 * @param endpoint the endpoint
 * @param held the slots it may be using now
 * @param wanted the slots it could use
 */
public record ShareWish(EndpointId endpoint, int held, int wanted) {}
