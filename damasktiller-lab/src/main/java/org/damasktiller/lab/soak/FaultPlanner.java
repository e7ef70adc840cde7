package org.damasktiller.lab.soak;

import java.util.ArrayList;
import java.util.List;
import org.apache.commons.math3.random.RandomGenerator;
import org.apache.commons.math3.random.Well19937c;

/**
 * Plans the faults of a soak before the run, from a generator that nothing else draws from, so that
 * a seed plays the same faults each time.
 */
final class FaultPlanner {

    /** The exclusive upper bound of the time between the starts of two faults, in milliseconds. */
    private static final int GAP_BOUND_MILLIS = 1_500;

    /** The minimum duration of a fault, in milliseconds. */
    private static final long MIN_DURATION_MILLIS = 200;

    /**
     * The exclusive upper bound of the random time that is added to the minimum duration of a
     * fault, in milliseconds.
     */
    private static final int EXTRA_DURATION_BOUND_MILLIS = 8_000;

    /** Separates the generator of the faults from the others of a seed. */
    private static final long SEED_MASK = 0x3a3a3a3a3a3a3a3aL;

    /** Prevents instantiation. */
    private FaultPlanner() {}

    /**
     * Plans the faults of a run.
     *
     * @param seed the seed of the run
     * @param spanMillis the time in which faults begin, in milliseconds
     * @return the faults, in the order in which they begin
     */
    static List<PlannedFault> plan(long seed, long spanMillis) {
        RandomGenerator random = new Well19937c(seed ^ SEED_MASK);
        List<PlannedFault> faults = new ArrayList<>();
        long start = 0;
        while (start < spanMillis) {
            long duration = MIN_DURATION_MILLIS + random.nextInt(EXTRA_DURATION_BOUND_MILLIS);
            faults.add(new PlannedFault(start, duration, random.nextLong()));
            start += random.nextInt(GAP_BOUND_MILLIS);
        }
        return faults;
    }
}
