package org.damasktiller.scheduler.cell;

import org.damasktiller.scheduler.port.StoreTransaction;

/** A move of tasks to another cell that waits for its transaction or for the outcome of it. */
interface PendingMove {

    /**
     * Returns whether the move may still be sent.
     *
     * @return false if one of its tasks has a run or its job is over
     */
    boolean isPossible();

    /**
     * Adds the conditions and writes of the move to a transaction.
     *
     * @param commit the transaction, which replaces the head key of the cell
     */
    void addTo(StoreTransaction commit);

    /**
     * Called when the move is stored.
     *
     * @param revision the revision of the transaction
     */
    void onStored(long revision);

    /**
     * Called when the move is certainly not stored and will not be.
     *
     * @param reason why, for the log
     */
    void onRefused(String reason);
}
