package org.damasktiller.lab.link;

/** How a link forwards bytes. The constants appear by name in the soak report. */
public enum LinkState {
    /** Forwards bytes in both directions immediately. */
    OPEN,
    /** Forwards bytes in both directions after a delay. */
    SLOW,
    /** Holds the client's bytes until the state changes; forwards the server's bytes. */
    REQUESTS_HELD,
    /** Holds the server's bytes until the state changes; forwards the client's bytes. */
    ANSWERS_HELD,
    /** Holds the bytes of both directions until the state changes. */
    HELD
}
