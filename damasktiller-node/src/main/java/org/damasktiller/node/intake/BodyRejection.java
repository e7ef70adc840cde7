package org.damasktiller.node.intake;

/** Why the body or the head of a request is not read to its end. */
public enum BodyRejection {
    /** It exceeds its limit, by what it announces or by what was sent. */
    TOO_LARGE,
    /** All bodies together have used up the memory that is set aside for them. */
    NO_ROOM,
    /** Nothing of it arrived for a while. */
    STALLED,
    /** It did not end in time, or before its caller stopped waiting. */
    TOO_SLOW,
    /** Its connection was closed to make room for another one. */
    CONNECTION_NEEDED,
    /** Its connection broke off or violated the protocol. */
    BROKEN
}
