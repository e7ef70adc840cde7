package org.damasktiller.authority.log;

/** Names the part of an owned log that asked for a call to the key-value service. */
enum LogPart {
    /** The ownership. */
    OWNERSHIP,
    /** The group committer. */
    COMMITTER,
    /** The recovery of the log. */
    RECOVERY
}
