package org.damasktiller.benchmark.decisions;

import java.util.List;
import org.damasktiller.benchmark.Bound;
import org.damasktiller.benchmark.FigureReport;
import org.damasktiller.identity.JobId;

/** Measures the starts a second on one core and the memory, from 100 to 10,000 workers. */
final class DecisionCost {

    /** The numbers of workers. */
    private static final int[] WORKERS = {100, 1000, 10_000};

    /** The starts a second that one core has to reach. */
    private static final double TARGET = 9600;

    /** The jobs of a wave of cancellations. */
    private static final int WAVE = 50_000;

    /** The nanoseconds of a second. */
    private static final double SECOND_NANOS = 1e9;

    /** The nanoseconds of a microsecond. */
    private static final double MICRO_NANOS = 1000;

    /** The bytes of a megabyte. */
    private static final double MEGABYTE = 1e6;

    /** The length of a measurement, in seconds. */
    private final double seconds;

    /**
     * Creates a measurement.
     *
     * @param quick whether it is short
     */
    DecisionCost(boolean quick) {
        seconds = quick ? 2 : 10;
    }

    /**
     * Measures and prints.
     *
     * @param report where the figures go
     */
    void print(FigureReport report) {
        double first = 0;
        for (int workers : WORKERS) {
            double before = usedMegabytes();
            LoadedFleet fleet = new LoadedFleet(workers);
            startsPerSecond(fleet);
            double rate = startsPerSecond(fleet);
            first = first == 0 ? rate : first;
            String prefix = "cost/" + workers + "_workers/";
            report.add(prefix + "tasks", fleet.tasks(), "count");
            report.add(prefix + "starts", rate, "starts/s", TARGET, Bound.AT_LEAST);
            report.add(prefix + "time_per_start", MICRO_NANOS * MICRO_NANOS / rate, "us");
            report.add(prefix + "time_to_100_workers", first / rate, "ratio");
            report.add(prefix + "memory", usedMegabytes() - before, "MB");
            report.add(prefix + "cancellation", cancellationMicros(fleet), "us");
        }
    }

    /**
     * Measures starts a second.
     *
     * @param fleet the fleet
     * @return the starts a second
     */
    private double startsPerSecond(LoadedFleet fleet) {
        long begin = System.nanoTime();
        long starts = 0;
        double elapsed = 0;
        while (elapsed < seconds) {
            starts += fleet.exchange();
            elapsed = (System.nanoTime() - begin) / SECOND_NANOS;
        }
        return starts / elapsed;
    }

    /**
     * Measures the cancellation of a wave.
     *
     * @param fleet the fleet
     * @return the microseconds of one cancellation
     */
    private static double cancellationMicros(LoadedFleet fleet) {
        List<JobId> wave = fleet.submitWave(WAVE);
        long begin = System.nanoTime();
        fleet.cancel(wave);
        return (System.nanoTime() - begin) / MICRO_NANOS / WAVE;
    }

    /**
     * Returns the heap in use after a collection.
     *
     * @return the megabytes
     */
    private static double usedMegabytes() {
        System.gc();
        Runtime runtime = Runtime.getRuntime();
        return (runtime.totalMemory() - runtime.freeMemory()) / MEGABYTE;
    }
}
