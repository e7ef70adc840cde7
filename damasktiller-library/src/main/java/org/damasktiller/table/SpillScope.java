package org.damasktiller.table;

/** Limits how far from its own availability zone a request may be sent. */
public enum SpillScope {
    /** Requests stay within their availability zone. */
    NONE,
    /** Requests may be sent to other availability zones of the same region. */
    REGION,
    /** Requests may also be sent to other regions, over the paid link. */
    ANY
}
