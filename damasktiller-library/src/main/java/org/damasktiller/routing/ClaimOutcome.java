package org.damasktiller.routing;

/** Tells how the claim of an at-most-once request ended. */
public enum ClaimOutcome {
    /** The key is claimed for this request, which may be sent once. */
    GRANTED,
    /** The key was claimed before; the request must not be sent. */
    ALREADY_CLAIMED,
    /** The claim could not be committed; the request must not be sent. */
    UNAVAILABLE
}
