package org.damasktiller.error;

/** Names the operation of the system that failed. */
public enum Operation {
    /** Reading the settings of a process. */
    SETTINGS,
    /** Reading, validating or changing a table. */
    TABLE,
    /** Accepting a request from a caller. */
    ACCEPT,
    /** Committing a change to the key-value service. */
    COMMIT,
    /** Reading from the key-value service. */
    READ
}
