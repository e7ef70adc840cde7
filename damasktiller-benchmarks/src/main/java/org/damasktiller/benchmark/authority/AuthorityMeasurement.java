package org.damasktiller.benchmark.authority;

import java.util.List;
import org.HdrHistogram.Histogram;
import org.damasktiller.authority.cell.Drain;
import org.damasktiller.benchmark.Bound;
import org.damasktiller.benchmark.FigureReport;
import org.damasktiller.benchmark.Measurement;
import org.damasktiller.standin.cell.OwnerProcess;
import org.damasktiller.verification.fault.FaultMatrix;
import org.damasktiller.verification.fault.MatrixResult;

/**
 * Measures the authority over work in virtual time: a store call takes 2 ms each way and a command
 * 1 ms each way. The {@code processing} figures alone are real time on this machine.
 */
public final class AuthorityMeasurement implements Measurement {

    /** The rates of the latency figures, in jobs a second. */
    private static final List<Long> RATES = List.of(1L, 100L, 1_000L);

    /** The writes a second that the baseline's store takes. */
    private static final double BASELINE_WRITES_PER_SECOND = 300;

    /** The target of writes for each accepted job in a burst. */
    private static final double TARGET_WRITES_PER_JOB = 0.05;

    /** The workers of a cell at the design size. */
    private static final int CELL_WORKERS = 100;

    /** The jobs of a burst. */
    private static final long BURST_JOBS = 10_000;

    /** The jobs of the start figure. */
    private static final long START_JOBS = 1_000;

    /** The run time of a job that lasts for the whole measurement, in milliseconds. */
    private static final long LONG_RUN_MILLIS = 36_000_000;

    /** Nanoseconds in a millisecond. */
    private static final double NANOS_PER_MILLI = 1_000_000;

    /** The live jobs of the takeovers of a large cell. */
    private static final List<Integer> LIVE_JOBS = List.of(1_000, 10_000, 100_000);

    /** The live jobs of the takeovers of small cells. */
    private static final int MIDDLE_LIVE_JOBS = 10_000;

    /** The workers of the small cells. */
    private static final List<Integer> SMALL_CELLS = List.of(8, 32);

    /** The rate at which a cell is filled, in jobs a second. */
    private static final long FILL_JOBS_PER_SECOND = 2_000;

    /** How long a takeover may take at most, in milliseconds. */
    private static final long TAKEOVER_LIMIT_MILLIS = 60_000;

    /** The largest value of the key-value service, in bytes. */
    private static final double MAXIMUM_VALUE_BYTES = 1_000_000;

    /** The percentile of the middle. */
    private static final double MEDIAN = 50;

    /** The percentile of the latency figures. */
    private static final double PERCENTILE = 99;

    /** Creates the measurement. */
    public AuthorityMeasurement() {}

    @Override
    public void run(boolean quick, FigureReport report) {
        measureBurst(report);
        measureStarts(report);
        for (long rate : RATES) {
            measureLatency(rate, report);
        }
        for (int jobs : LIVE_JOBS) {
            measureTakeover(jobs, CELL_WORKERS, report);
        }
        for (int workers : SMALL_CELLS) {
            measureTakeover(MIDDLE_LIVE_JOBS, workers, report);
        }
        measureMatrix(report);
        new ClaimsMeasurement().run(quick, report);
    }

    /**
     * Measures the writes of a burst of short jobs, their completions included.
     *
     * @param report where the figures go
     */
    private static void measureBurst(FigureReport report) {
        CellLoad load = new CellLoad(CELL_WORKERS);
        long writes = load.calls().writes();
        long bytes = load.calls().bytes();
        load.submit(BURST_JOBS, 1_000, 2 * CellLoad.MILLIS_PER_SECOND);
        double thousands = load.accepted() / 1_000.0;
        double accepting = load.calls().writes() - writes;
        report.add(
                "authority.burst.writes-per-job",
                accepting / load.accepted(),
                "writes",
                TARGET_WRITES_PER_JOB,
                Bound.AT_MOST);
        report.add("authority.burst.writes-per-1000-jobs", accepting / thousands, "writes");
        report.add(
                "authority.burst.bytes-per-1000-jobs",
                (load.calls().bytes() - bytes) / thousands,
                "bytes");
        load.pass(10L * CellLoad.MILLIS_PER_SECOND);
        report.add(
                "authority.burst.writes-per-job-to-completion",
                (load.calls().writes() - writes) / (double) load.accepted(),
                "writes");
    }

    /**
     * Measures the writes of starts: all workers are cut off while the jobs are accepted, so that
     * the starts come afterwards.
     *
     * @param report where the figures go
     */
    private static void measureStarts(FigureReport report) {
        CellLoad load = new CellLoad(CELL_WORKERS);
        OwnerProcess owner = load.harness().active().orElseThrow();
        List<String> workers =
                load.harness().peers().workers().stream().map(Object::toString).toList();
        workers.forEach(name -> load.harness().peers().cutOff(owner.number(), name, true));
        load.submit(START_JOBS, 1_000, LONG_RUN_MILLIS);
        load.pass(CellLoad.MILLIS_PER_SECOND);
        long writes = load.calls().writes();
        long bytes = load.calls().bytes();
        long before = load.harness().observer().starts();
        workers.forEach(name -> load.harness().peers().cutOff(owner.number(), name, false));
        load.pass(10L * CellLoad.MILLIS_PER_SECOND);
        double starts = load.harness().observer().starts() - before;
        report.add("authority.start.starts", starts, "starts", START_JOBS, Bound.AT_LEAST);
        report.add(
                "authority.start.writes-per-1000-starts",
                (double) (load.calls().writes() - writes),
                "writes",
                0,
                Bound.AT_MOST);
        count(
                "authority.start.bytes-per-1000-starts",
                load.calls().bytes() - bytes,
                "bytes",
                report);
    }

    /**
     * Measures the latency of acceptance at a rate, with the baseline.
     *
     * @param rate the rate, in jobs a second
     * @param report where the figures go
     */
    private static void measureLatency(long rate, FigureReport report) {
        long jobs = Math.max(100, 10 * rate);
        CellLoad load = new CellLoad(CELL_WORKERS);
        load.submit(jobs, rate, LONG_RUN_MILLIS);
        String name = "authority.accept." + rate + "-per-second.";
        add(name + "group", load.latencies(), report);
        SingleWriteBaseline baseline = new SingleWriteBaseline(BASELINE_WRITES_PER_SECOND);
        add(name + "baseline", baseline.run(jobs, rate), report);
        report.add(
                name + "baseline-writes-per-job",
                baseline.store().writes() / (double) jobs,
                "writes");
    }

    /**
     * Prints a whole number.
     *
     * @param name the name
     * @param value the value
     * @param unit the unit
     * @param report where the figure goes
     */
    private static void count(String name, long value, String unit, FigureReport report) {
        report.add(name, (double) value, unit);
    }

    /**
     * Prints the middle and the tail of latencies.
     *
     * @param name the start of the names
     * @param latencies the latencies, in milliseconds
     * @param report where the figures go
     */
    private static void add(String name, Histogram latencies, FigureReport report) {
        count(name + "-p50", latencies.getValueAtPercentile(MEDIAN), "ms", report);
        count(name + "-p99", latencies.getValueAtPercentile(PERCENTILE), "ms", report);
    }

    /**
     * Measures a takeover after a drain, until every worker was fenced by the successor.
     *
     * @param jobs the live jobs
     * @param workers the workers
     * @param report where the figures go
     */
    private static void measureTakeover(int jobs, int workers, FigureReport report) {
        CellLoad load = new CellLoad(workers);
        load.submit(jobs, FILL_JOBS_PER_SECOND, LONG_RUN_MILLIS);
        OwnerProcess first = load.harness().active().orElseThrow();
        load.harness().addOwner("entry-2");
        load.pass(CellLoad.MILLIS_PER_SECOND);
        long fences = load.calls().fences();
        long begin = load.harness().clock().nowMillis();
        long realBegin = System.nanoTime();
        load.harness().deliver(first, new Drain());
        load.harness()
                .clock()
                .run(
                        begin + TAKEOVER_LIMIT_MILLIS,
                        () -> load.calls().fences() - fences >= workers);
        double realMillis = (System.nanoTime() - realBegin) / NANOS_PER_MILLI;
        String name = "authority.takeover." + jobs + "-jobs-" + workers + "-workers.";
        report.add(name + "live", (double) load.accepted(), "jobs", jobs, Bound.AT_LEAST);
        count(name + "time", load.harness().clock().nowMillis() - begin, "ms", report);
        report.add(name + "processing", realMillis, "ms");
        report.add(
                name + "largest-head",
                (double) load.calls().largestHeadBytes(),
                "bytes",
                MAXIMUM_VALUE_BYTES,
                Bound.AT_MOST);
        report.add(
                name + "head-per-live-job",
                load.calls().largestHeadBytes() / (double) jobs,
                "bytes");
        report.add(
                name + "log-per-live-job",
                load.harness().store().list("cell/", load.harness().clock().nowMillis()).stream()
                                .mapToLong(value -> value.value().length)
                                .sum()
                        / (double) jobs,
                "bytes");
    }

    /**
     * Runs the fault matrix.
     *
     * @param report where the figures go
     */
    private static void measureMatrix(FigureReport report) {
        MatrixResult result = FaultMatrix.runAll();
        report.add("authority.matrix.cells", result.cells(), "cells");
        report.add("authority.matrix.cases", result.cases(), "cases");
        report.add(
                "authority.matrix.violations",
                result.broken().size(),
                "violations",
                0,
                Bound.AT_MOST);
    }
}
