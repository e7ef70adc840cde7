package org.damasktiller.node.caller;

import java.util.function.Consumer;

/** Sends a request to a peer. */
interface RelayTransport {

    /**
     * Sends a request.
     *
     * @param peer the peer
     * @param request the request
     * @param callback receives the result, exactly once
     */
    void send(RelayPeer peer, RelayedRequest request, Consumer<RelayResult> callback);
}
