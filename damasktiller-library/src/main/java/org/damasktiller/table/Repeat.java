package org.damasktiller.table;

/** Tells whether work of a kind may be run again. */
public enum Repeat {
    /** May be run any number of times with the same effect. */
    IDEMPOTENT,
    /** Continues from its checkpoint after an eviction; each part runs once. */
    RESUMABLE,
    /** Must never be started twice. */
    AT_MOST_ONCE
}
