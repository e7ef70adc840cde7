package org.damasktiller.lab.link;

/** What a link does with the bytes that cross it. */
public enum LinkState {
    /** Passes them on at once. */
    OPEN,
    /** Passes them on after a delay. */
    SLOW,
    /** Holds back what the client sends until the link is open again. */
    REQUESTS_HELD,
    /** Holds back what the server sends until the link is open again. */
    ANSWERS_HELD,
    /** Holds back both until the link is open again. */
    HELD
}
