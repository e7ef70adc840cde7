package org.damasktiller.decision.estimate;

/** Reads the need out of a usage that was capped by its reservation. */
final class UsageLimit {

    /** The part of the reservation from which on a usage counts as capped. */
    private static final double CAPPED_PART = 0.97;

    /** By how much a capped usage is raised. */
    private static final double RAISE = 1.5;

    /** The margin above a usage that was not capped. */
    private static final double MARGIN = 1.05;

    /** Prevents instantiation. */
    private UsageLimit() {}

    /**
     * Returns what is needed.
     *
     * @param used what was used
     * @param reserved what could be used
     * @return the need
     */
    static double needed(long used, long reserved) {
        return used >= CAPPED_PART * reserved ? RAISE * used : MARGIN * used;
    }
}
