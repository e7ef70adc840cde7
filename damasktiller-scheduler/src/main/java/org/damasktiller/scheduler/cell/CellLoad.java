package org.damasktiller.scheduler.cell;

/**
 * Tracks how much of a cell is reserved. Long-running and urgent tasks reserve CPU; fillers use
 * what is left and reserve none.
 */
final class CellLoad {

    /** The fraction of the CPU of usable workers that is reserved. */
    private double reservedFraction = 1;

    /** Creates a tracker that takes the cell for full until the first update. */
    CellLoad() {}

    /**
     * Updates the load.
     *
     * @param reservedMillicores the reserved CPU of usable workers, in millicores
     * @param capacityMillicores their CPU, in millicores
     */
    void update(long reservedMillicores, long capacityMillicores) {
        reservedFraction =
                capacityMillicores == 0 ? 1 : (double) reservedMillicores / capacityMillicores;
    }

    /**
     * Returns the fraction of the CPU of usable workers that is reserved.
     *
     * @return the fraction as of the last update, 1 if no worker is usable
     */
    double reservedFraction() {
        return reservedFraction;
    }
}
