package org.damasktiller.node.caller;

/** Tells whether the owners of cells have memory for further submissions. */
@FunctionalInterface
public interface CellAdmission {

    /**
     * Decides on a submission for a cell. One that is admitted is counted as accepted.
     *
     * @param cell the name of the cell
     * @param bytes the memory that the submission will take of the owner of the cell, in bytes
     * @return whether the submission may be accepted
     */
    boolean admits(String cell, long bytes);
}
