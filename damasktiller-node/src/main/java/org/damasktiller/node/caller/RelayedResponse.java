package org.damasktiller.node.caller;

/**
 * The response to a request that a peer has passed on.
 *
 * @param response the response
 * @param manifestRevision the store's revision of the manifest by which the request was handled, 0
 *     if it was not handled
 */
record RelayedResponse(CallerResponse response, long manifestRevision) {}
