package org.damasktiller.authority.call;

/** The answer of the key-value service to one call. */
public sealed interface StoreAnswer
        permits ReadAnswer,
                SwapAnswer,
                LeaseGrantedAnswer,
                LeaseRenewedAnswer,
                LeaseRevokedAnswer {}
