package org.damasktiller.scheduler.port;

/** How a call to the store ended. */
public enum StoreStatus {
    /** The call was carried out. */
    OK,
    /** The item or the lease does not exist. */
    ABSENT,
    /** A condition of the transaction did not hold; nothing was changed. */
    CONFLICT,
    /** The history asked for is no longer kept. */
    COMPACTED,
    /** The store refused the call; nothing was done. */
    REFUSED,
    /** No answer came; the call may be carried out, also later. */
    UNKNOWN
}
