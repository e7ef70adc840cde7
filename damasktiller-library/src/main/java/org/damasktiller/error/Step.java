package org.damasktiller.error;

/** Names the step of the system at which an error arose. */
public enum Step {
    /** Reading the settings of a process. */
    SETTINGS,
    /** Reading or checking a table. */
    TABLE,
    /** Accepting a request from a caller. */
    ACCEPT,
    /** Committing a change to the key-value service. */
    COMMIT,
    /** Reading from the key-value service. */
    READ
}
