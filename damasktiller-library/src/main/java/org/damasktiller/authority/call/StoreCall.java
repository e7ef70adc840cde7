package org.damasktiller.authority.call;

/** One call to the key-value service. */
public sealed interface StoreCall
        permits ReadCall, SwapCall, GrantLeaseCall, RenewLeaseCall, RevokeLeaseCall {}
