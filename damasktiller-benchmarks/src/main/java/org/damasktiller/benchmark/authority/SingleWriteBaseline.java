package org.damasktiller.benchmark.authority;

import java.nio.charset.StandardCharsets;
import org.HdrHistogram.Histogram;
import org.damasktiller.standin.store.StoreState;
import org.damasktiller.store.SwapRequest;

/**
 * The baseline: each job is written to its own key as it comes, to a store that takes a fixed
 * number of writes a second, one after another.
 */
final class SingleWriteBaseline {

    /** The number of significant digits of the latencies. */
    private static final int DIGITS = 3;

    /** The bytes of a job. */
    private static final int JOB_BYTES = 130;

    /** How long a call takes both ways, in milliseconds. */
    private static final double ROUND_TRIP_MILLIS = 4;

    /** The writes that the store takes a second. */
    private final double writesPerSecond;

    /** The store. */
    private final StoreState store = new StoreState();

    /**
     * Creates the baseline.
     *
     * @param writesPerSecond the writes that the store takes a second
     */
    SingleWriteBaseline(double writesPerSecond) {
        this.writesPerSecond = writesPerSecond;
    }

    /**
     * Returns the store.
     *
     * @return the store
     */
    StoreState store() {
        return store;
    }

    /**
     * Writes jobs at an even rate.
     *
     * @param jobs how many
     * @param perSecond the rate, in jobs a second
     * @return the latencies, in milliseconds
     */
    Histogram run(long jobs, long perSecond) {
        Histogram latencies = new Histogram(DIGITS);
        double serviceMillis = CellLoad.MILLIS_PER_SECOND / writesPerSecond;
        double freeMillis = 0;
        byte[] job = "x".repeat(JOB_BYTES).getBytes(StandardCharsets.UTF_8);
        for (long index = 0; index < jobs; index++) {
            double arrival = (double) index * CellLoad.MILLIS_PER_SECOND / perSecond;
            double begin = Math.max(freeMillis, arrival);
            freeMillis = begin + serviceMillis;
            store.compareAndSwap(new SwapRequest("job/" + index, 0, job, 0), (long) begin);
            latencies.recordValue(Math.round(begin - arrival + ROUND_TRIP_MILLIS));
        }
        return latencies;
    }
}
