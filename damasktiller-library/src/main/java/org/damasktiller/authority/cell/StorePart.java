package org.damasktiller.authority.cell;

/** Names the part of an owner that asked for a call to the key-value service. */
enum StorePart {
    /** The ownership. */
    OWNERSHIP,
    /** The group committer. */
    COMMITTER,
    /** The recovery of the log. */
    RECOVERY
}
