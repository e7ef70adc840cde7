package org.damasktiller.decision.interference;

import java.util.Arrays;
import org.jspecify.annotations.Nullable;

/** Holds the estimates of one victim by aggressor and level. */
final class PairRow {

    /** The number of levels. */
    private static final int LEVELS = LoadLevel.values().length;

    /** The estimates; null where nothing is known. */
    private @Nullable PairEstimate[] estimates = new PairEstimate[LEVELS];

    /** Creates a row in which nothing is known. */
    PairRow() {}

    /**
     * Returns an estimate.
     *
     * @param aggressor the number of the other kind
     * @param level the index of the level
     * @return the estimate, or null if the pair was not seen at the level
     */
    @Nullable PairEstimate get(int aggressor, int level) {
        int position = aggressor * LEVELS + level;
        return position < estimates.length ? estimates[position] : null;
    }

    /**
     * Records an estimate.
     *
     * @param aggressor the number of the other kind
     * @param level the index of the level
     * @param estimate the estimate
     */
    void put(int aggressor, int level, PairEstimate estimate) {
        int position = aggressor * LEVELS + level;
        if (position >= estimates.length) {
            estimates = Arrays.copyOf(estimates, 2 * (position + 1));
        }
        estimates[position] = estimate;
    }
}
