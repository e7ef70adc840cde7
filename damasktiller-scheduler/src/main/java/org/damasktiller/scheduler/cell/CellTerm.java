package org.damasktiller.scheduler.cell;

/**
 * A term: the period for which one process owns a cell, from an election it has won.
 *
 * @param generation the number of the term, higher than that of each earlier term; it is the
 *     fencing token in the requests to workers
 * @param owner the value stored under the owner key
 * @param headRevision the revision of the transaction that won the election, which wrote the owner
 *     key and the head key
 * @param startedAtMillis when this process learnt that it had won, on its monotonic clock, in
 *     milliseconds
 */
public record CellTerm(
        long generation, OwnerRecord owner, long headRevision, long startedAtMillis) {

    /** How many run numbers each term has for each task. */
    private static final int RUN_NUMBERS_PER_TERM = 1_000;

    /**
     * Returns the run number before the first run of this term. It is no lower than any run number
     * of earlier terms, so that the run numbers of a task increase although starts are not stored.
     *
     * @return the run number before the first one that this term may use
     */
    int runNumberBase() {
        return (int) (generation - 1) * RUN_NUMBERS_PER_TERM;
    }
}
