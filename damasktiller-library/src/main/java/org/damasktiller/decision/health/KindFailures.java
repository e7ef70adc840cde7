package org.damasktiller.decision.health;

/** Follows the part of the jobs of a kind that fail, on all workers. */
final class KindFailures {

    /** The weight of the latest result. */
    private static final double LATEST_WEIGHT = 0.05;

    /** The part of the jobs that fail. */
    private double part;

    /** Creates the record of a kind without results. */
    KindFailures() {}

    /**
     * Records a result.
     *
     * @param failed whether the job failed
     */
    void add(boolean failed) {
        part += LATEST_WEIGHT * ((failed ? 1 : 0) - part);
    }

    /**
     * Returns the part of the jobs that fail.
     *
     * @return the part, from 0 to 1
     */
    double part() {
        return part;
    }
}
