package org.damasktiller.node.cluster;

/** Who handles a request of a caller. */
public enum RequestHandler {

    /** The process that has received it. */
    SELF,

    /** A peer. */
    PEER,

    /** Nobody: it is refused, and the caller may come back. */
    NONE
}
