package org.damasktiller.standin.claim;

import org.damasktiller.authority.call.ReadCall;
import org.damasktiller.authority.call.StoreCall;
import org.damasktiller.authority.call.SwapCall;

/** Names the calls in the life of an at-most-once request at which something can go wrong. */
public enum ClaimStep {
    /** A shard owner reads from the store. */
    STORE_READ,
    /** A shard owner writes to the store. */
    STORE_WRITE,
    /** A shard owner grants, renews or revokes a store lease. */
    STORE_LEASE,
    /** A forwarder asks a shard owner. */
    ASK,
    /** A forwarder sends the request to the endpoint. */
    SEND,
    /** A forwarder gives a claim back. */
    GIVE_BACK,
    /** A forwarder reports that the request was answered. */
    REPORT;

    /**
     * Returns the step of a call to the store.
     *
     * @param call the call
     * @return the step
     */
    static ClaimStep of(StoreCall call) {
        if (call instanceof ReadCall) {
            return STORE_READ;
        }
        return call instanceof SwapCall ? STORE_WRITE : STORE_LEASE;
    }
}
