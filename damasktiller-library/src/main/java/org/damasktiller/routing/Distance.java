package org.damasktiller.routing;

import org.damasktiller.table.Spill;

/** Ranks endpoints by how far they are from an entry VM, the nearest first. */
enum Distance {
    /** In the same availability zone. */
    ZONE,
    /** In another zone of the same region. */
    REGION,
    /** Over the paid link between regions. */
    FAR;

    /**
     * Returns how far requests may go.
     *
     * @param spill what the table says
     * @return the largest distance allowed
     */
    static Distance reach(Spill spill) {
        return switch (spill) {
            case NONE -> ZONE;
            case REGION -> REGION;
            case ANY -> FAR;
        };
    }

    /**
     * Tells whether this distance is within another one.
     *
     * @param limit the other distance
     * @return whether it is
     */
    boolean within(Distance limit) {
        return compareTo(limit) <= 0;
    }

    /**
     * Returns the nearer of two distances.
     *
     * @param other the other distance
     * @return the nearer one
     */
    Distance nearer(Distance other) {
        return within(other) ? this : other;
    }
}
