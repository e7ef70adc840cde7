package org.damasktiller.authority.claim;

/** Tells how far an at-most-once request has come at its forwarder. */
public enum RequestPhase {
    /** The claim is asked for; nothing was sent. */
    CLAIMING,
    /** The request was sent, or may have been. */
    SENT,
    /** The caller was told that the request was not run. */
    NOT_RUN,
    /** The caller was given the answer, or told that the outcome is not known. */
    ENDED
}
