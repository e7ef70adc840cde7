package org.damasktiller.table;

/** Tells how far from its own availability zone a request may be sent. */
public enum Spill {
    /** Only within the availability zone. */
    NONE,
    /** To other availability zones of the same region. */
    REGION,
    /** To other regions too, over the paid link. */
    ANY
}
