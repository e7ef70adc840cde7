package org.damasktiller.standin.endpoint;

/** Lists the ways in which a stand-in endpoint can treat a request. */
public enum EndpointFault {
    /** The request is run and answered. */
    NONE,
    /** The request is run and answered late by the set delay. */
    LATE,
    /** The request is run and its answer is cut off in the middle. */
    TRUNCATED,
    /** The request is run and the connection is closed without an answer. */
    CLOSED,
    /** Nothing is ever answered on the connection any more, and nothing runs. */
    SILENT,
    /** The request is run and answered with status 500. */
    ERROR
}
