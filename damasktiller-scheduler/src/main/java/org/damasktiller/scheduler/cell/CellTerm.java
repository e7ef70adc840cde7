package org.damasktiller.scheduler.cell;

/**
 * The time during which a node owns a cell.
 *
 * @param generation the generation, the fencing token at the workers
 * @param owner the value of the owner's key
 * @param headRevision the revision of the head key when the term began
 * @param beganMillis when this node learnt that its term had begun, in milliseconds
 */
public record CellTerm(long generation, OwnerRecord owner, long headRevision, long beganMillis) {

    /** The number of runs of a task that one term can number. */
    private static final int RUNS_PER_TERM = 1_000;

    /**
     * Returns the number below the first run of the term; it is higher than those of all former
     * terms, so that a task's runs rise although starts are not stored.
     *
     * @return the number below the first run
     */
    int runBase() {
        return (int) (generation - 1) * RUNS_PER_TERM;
    }
}
