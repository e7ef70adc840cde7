package org.damasktiller.routing;

/** Tells how one attempt to send a request to an endpoint ended. */
public enum AttemptOutcome {
    /** The whole answer arrived. */
    ANSWERED,
    /** The whole answer arrived and reports a failure of the endpoint. */
    FAILED,
    /** The endpoint answered that it is leaving and did not run the request. */
    DRAINING,
    /** The endpoint answered that it has no free slot and did not run the request. */
    BUSY,
    /** No byte of the request left, for example because the connection was refused. */
    NOT_SENT,
    /** The connection broke or the answer was cut off after a byte may have left. */
    BROKEN
}
