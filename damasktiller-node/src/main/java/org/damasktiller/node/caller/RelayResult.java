package org.damasktiller.node.caller;

import org.jspecify.annotations.Nullable;

/**
 * The result of passing a request on to a peer.
 *
 * @param response the response of the peer, or null if there was none
 * @param manifestRevision the store's revision of the manifest by which the peer has handled the
 *     request, 0 if that is not known
 * @param possiblySent whether the request may have reached the peer
 * @param failure what went wrong, for the log; empty if there is a response
 */
record RelayResult(
        @Nullable CallerResponse response,
        long manifestRevision,
        boolean possiblySent,
        String failure) {}
