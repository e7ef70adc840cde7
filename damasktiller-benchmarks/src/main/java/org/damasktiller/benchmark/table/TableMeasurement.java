package org.damasktiller.benchmark.table;

import org.HdrHistogram.Histogram;
import org.damasktiller.benchmark.Bound;
import org.damasktiller.benchmark.FigureReport;
import org.damasktiller.benchmark.Measurement;

/** Measures how fast table changes are in force everywhere, and what that costs. */
public final class TableMeasurement implements Measurement {

    /** The target for a change to be in force everywhere, in milliseconds. */
    private static final double IN_FORCE_TARGET = 11_000;

    /** The target of control traffic of a node, in bytes a second. */
    private static final double BYTES_TARGET = 2_000;

    /** The changes of a run. */
    private static final int CHANGES = 60;

    /** The changes of a quick run. */
    private static final int QUICK_CHANGES = 15;

    /** How long a fleet is watched without changes, in milliseconds. */
    private static final long IDLE_MILLIS = 60_000;

    /** The sizes of fleets. */
    private static final int[] SIZES = {9, 59, 500};

    /** The percentiles reported besides the maximum. */
    private static final double[] PERCENTILES = {50, 99};

    /** The number of the node that is the relay of the region of the store. */
    private static final int RELAY = 0;

    /** The number of a node that is the watcher of a zone of another region, and no relay. */
    private static final int WATCHER = 4;

    /** Creates the measurement. */
    public TableMeasurement() {}

    @Override
    public void run(boolean quick, FigureReport report) {
        int changes = quick ? QUICK_CHANGES : CHANGES;
        SpreadScenario plain = new SpreadScenario(SIZES[1]);
        long before = plain.linkBytes();
        for (int index = 0; index < changes; index++) {
            plain.changeAndNote("");
        }
        report(report, "in_force_no_fault", plain.delays());
        report.add(
                "link_bytes_per_change_all_traffic",
                (double) (plain.linkBytes() - before) / changes,
                "bytes");
        killed(report, "in_force_relay_killed", RELAY);
        killed(report, "in_force_watcher_killed", WATCHER);
        for (int size : SIZES) {
            idle(report, size);
        }
    }

    /**
     * Measures changes during which a node is killed.
     *
     * @param report where the figures go
     * @param name the name of the figures
     * @param killed the number of the node, which is the watcher of its zone
     */
    private static void killed(FigureReport report, String name, int killed) {
        SpreadScenario scenario = new SpreadScenario(SIZES[1]);
        scenario.changeAndNote(SpreadScenario.id(killed).value());
        report(report, name, scenario.delays());
    }

    /**
     * Measures what a fleet costs without changes.
     *
     * @param report where the figures go
     * @param size the number of nodes
     */
    private static void idle(FigureReport report, int size) {
        SpreadScenario scenario = new SpreadScenario(size);
        long calls = scenario.storeCalls();
        double bytes = scenario.gossipBytes();
        scenario.idle(IDLE_MILLIS);
        double seconds = IDLE_MILLIS / 1000.0;
        report.add(
                "store_calls_per_second_" + size,
                (scenario.storeCalls() - calls) / seconds,
                "calls/s");
        report.add(
                "gossip_bytes_per_node_" + size,
                (scenario.gossipBytes() - bytes) / seconds,
                "bytes/s",
                BYTES_TARGET,
                Bound.AT_MOST);
    }

    /**
     * Reports the times of some changes.
     *
     * @param report where the figures go
     * @param name the name of the figures
     * @param delays the times, in milliseconds
     */
    private static void report(FigureReport report, String name, Histogram delays) {
        for (double percentile : PERCENTILES) {
            report.add(
                    name + "_p" + (int) percentile,
                    (double) delays.getValueAtPercentile(percentile),
                    "ms",
                    IN_FORCE_TARGET,
                    Bound.AT_MOST);
        }
        report.add(
                name + "_max", (double) delays.getMaxValue(), "ms", IN_FORCE_TARGET, Bound.AT_MOST);
    }
}
