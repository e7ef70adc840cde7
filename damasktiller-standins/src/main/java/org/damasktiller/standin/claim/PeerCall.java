package org.damasktiller.standin.claim;

import java.util.function.Consumer;

/** What a peer does with a call. */
interface PeerCall {

    /**
     * Carries out the call at the peer.
     *
     * @param back takes what the answer does at the caller, at any later time, or never
     */
    void arrive(Consumer<Runnable> back);
}
