package org.damasktiller.scheduler.cell;

import org.damasktiller.scheduler.port.StoreTransaction;

/**
 * A change that gets a batch of its own, such as a move of tasks to another cell, and waits for it
 * or for the outcome of it.
 */
interface PendingMove {

    /**
     * Returns whether the change may still be sent.
     *
     * @return false if it is not due any more, for example since a task has got a run
     */
    boolean isPossible();

    /**
     * Adds the conditions and writes of the change to a transaction.
     *
     * @param commit the transaction, which replaces the head key of the cell
     */
    void addTo(StoreTransaction commit);

    /**
     * Called when the change is stored.
     *
     * @param revision the revision of the transaction
     */
    void onStored(long revision);

    /**
     * Called when the change is certainly not stored and will not be.
     *
     * @param reason why, for the log
     */
    void onRefused(String reason);
}
