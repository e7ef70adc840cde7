package org.damasktiller.scheduler.cell;

/** Lists why a submission that is not stored has a tombstone. */
public enum TombstoneCause {
    /** It was cancelled. */
    CANCELLED,
    /** It was rejected, since no worker could hold one of its tasks. */
    UNSERVABLE
}
