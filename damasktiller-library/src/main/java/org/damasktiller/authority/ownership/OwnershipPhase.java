package org.damasktiller.authority.ownership;

/** Names what an ownership is doing, which decides its next call to the store. */
enum OwnershipPhase {
    /** Looks for the owner's record. */
    WATCH,
    /** Asks for a lease. */
    GRANT,
    /** Writes the owner's record under the lease. */
    CLAIM,
    /** Reads the owner's record back after a lost answer. */
    CLAIM_READ_BACK,
    /** Reads the head to take it over, or to confirm that it was not taken over. */
    READ_HEAD,
    /** Writes the head with the next generation. */
    SWAP_HEAD,
    /** Reads the head back after a lost answer. */
    SWAP_HEAD_READ_BACK,
    /** Makes sure that the lease still stood after the head was written. */
    VERIFY,
    /** Owns the log and renews the lease. */
    HOLD,
    /** Gives the lease back. */
    REVOKE,
    /** Has given the lease back. */
    RELEASED
}
