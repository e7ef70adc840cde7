package org.damasktiller.error;

/** Names the step of the system at which an error arose. */
public enum Step {
    /** Reading the settings of a process. */
    SETTINGS,
    /** Reading or checking a table. */
    TABLE,
    /** Accepting a request from a caller. */
    ACCEPT,
    /** Checking a request against the limits. */
    ADMIT,
    /** Claiming an at-most-once request. */
    CLAIM,
    /** Choosing an endpoint. */
    ROUTE,
    /** Sending a request to an endpoint and reading the answer. */
    FORWARD,
    /** Committing a change to the key-value service. */
    COMMIT,
    /** Reading from the key-value service. */
    READ,
    /** Starting, renewing or stopping a task on a worker. */
    COMMAND,
    /** Recovering the state of a cell or shard. */
    RECOVER,
    /** Exchanging messages with another entry VM. */
    PEER
}
