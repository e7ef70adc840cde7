package org.damasktiller.scheduler.port;

/** The status of a call to the store. Logged under the constant's name. */
public enum StoreStatus {
    /** The call was executed. */
    OK,
    /** The item or the lease does not exist. */
    ABSENT,
    /** An expected revision of the transaction did not match; nothing was changed. */
    CONFLICT,
    /** The store no longer has the requested history of changes. */
    COMPACTED,
    /** The store refused the call or could not be reached; the call was not executed. */
    REFUSED,
    /**
     * The store found the call malformed or larger than it allows; the call was not executed, and
     * neither will the same one be.
     */
    INVALID,
    /** No answer arrived; the call may have been executed or may still be executed later. */
    UNKNOWN
}
