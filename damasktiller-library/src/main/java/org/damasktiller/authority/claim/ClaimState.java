package org.damasktiller.authority.claim;

/** Tells how far the claim of a request has come. The order is part of the stored form. */
public enum ClaimState {
    /** The request was granted and may have been sent. */
    CLAIMED,
    /** The request was answered. */
    COMPLETED,
    /** The forwarder gave the claim back without having sent, and never will send. */
    RELEASED
}
