package org.damasktiller.verification.fault;

import java.util.List;

/**
 * Holds the result of a run of the matrix.
 *
 * @param cells the number of pairs of a step and a fault
 * @param cases the number of cases run
 * @param notReached the number of cases whose first fault was never injected
 * @param broken the broken rules, each with its case
 */
public record MatrixResult(int cells, int cases, int notReached, List<String> broken) {

    /** Copies the list. */
    public MatrixResult {
        broken = List.copyOf(broken);
    }
}
