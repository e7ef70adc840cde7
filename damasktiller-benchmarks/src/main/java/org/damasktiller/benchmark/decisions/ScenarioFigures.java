package org.damasktiller.benchmark.decisions;

import java.util.List;
import java.util.Map;
import java.util.Objects;
import org.damasktiller.benchmark.Bound;
import org.damasktiller.benchmark.FigureReport;

/** Prints the figures of one scenario with the targets of the issue. */
final class ScenarioFigures {

    /** The largest p99 of services in relation to services alone. */
    private static final double LATENCY_TARGET = 1.2;

    /** The least batch work in relation to the best baseline that ignores services. */
    private static final double WORK_TARGET = 0.9;

    /** The largest part of the evictions by a threshold without hysteresis. */
    private static final double EVICTION_TARGET = 0.1;

    /** The largest part of the starts on a failing worker. */
    private static final double BLACK_HOLE_TARGET = 0.01;

    /** The longest time in which urgent jobs start at the 99.9th percentile, in seconds. */
    private static final double URGENT_TARGET = 1.1;

    /** The largest relative difference of a share from its weight. */
    private static final double SHARE_TARGET = 0.05;

    /** The microseconds of a second. */
    private static final double MICROS = 1_000_000;

    /** The seconds of an hour. */
    private static final double HOUR = 3600;

    /** The percentiles that are printed. */
    private static final double[] PERCENTILES = {50, 99, 99.9};

    /** The names of these percentiles. */
    private static final String[] PERCENTILE_NAMES = {"p50", "p99", "p999"};

    /** The baselines that place batch work without regard to services. */
    private static final List<PolicyName> IGNORING =
            List.of(
                    PolicyName.IGNORING_SERVICES,
                    PolicyName.FIRST_IN_FIRST_OUT,
                    PolicyName.LEAST_LOADED);

    /** The begin of each figure's name. */
    private final String prefix;

    /** The scenario. */
    private final Scenario scenario;

    /** The figures of each policy. */
    private final Map<PolicyName, RunFigures> policies;

    /**
     * Creates the figures of a scenario.
     *
     * @param prefix the begin of each figure's name
     * @param scenario the scenario
     * @param policies the figures of each policy
     */
    ScenarioFigures(String prefix, Scenario scenario, Map<PolicyName, RunFigures> policies) {
        this.prefix = prefix;
        this.scenario = scenario;
        this.policies = policies;
    }

    /**
     * Prints the figures: first those with targets, then those of each policy.
     *
     * @param report where the figures go
     */
    void print(FigureReport report) {
        RunFigures own = of(PolicyName.DAMASKTILLER);
        RunFigures alone = of(PolicyName.SERVICES_ALONE);
        double ratio = own.latencyMillis(PERCENTILES[1]) / alone.latencyMillis(PERCENTILES[1]);
        report.add(prefix + "/p99_to_alone", ratio, "ratio", LATENCY_TARGET, Bound.AT_MOST);
        double best = IGNORING.stream().mapToDouble(name -> of(name).work).max().orElse(0);
        report.add(
                prefix + "/work_to_best_ignoring",
                own.work / best,
                "ratio",
                WORK_TARGET,
                Bound.AT_LEAST);
        double threshold = (double) of(PolicyName.THRESHOLD_EVICTION).evictions;
        report.add(
                prefix + "/evictions",
                (double) own.evictions,
                "count",
                EVICTION_TARGET * threshold,
                Bound.AT_MOST);
        report.add(prefix + "/overcommits", (double) own.overcommits, "count", 0, Bound.AT_MOST);
        double urgent = own.urgentWaits.getValueAtPercentile(PERCENTILES[2]) / MICROS;
        report.add(prefix + "/urgent_p999", urgent, "s", URGENT_TARGET, Bound.AT_MOST);
        report.add(prefix + "/share_error", own.shareError, "part", SHARE_TARGET, Bound.AT_MOST);
        if (scenario == Scenario.BLACK_HOLE_WORKER) {
            double part = (double) own.startsOnFailing / own.starts;
            report.add(
                    prefix + "/black_hole_starts", part, "part", BLACK_HOLE_TARGET, Bound.AT_MOST);
            report.add(prefix + "/starts_after_repair", (double) own.startsOnRepaired, "count");
        }
        report.add(prefix + "/refused_impossible", (double) own.refused, "count");
        report.add(prefix + "/given_up_poisoned", (double) own.poisoned, "count");
        policies.forEach((name, figures) -> print(report, name, figures));
    }

    /**
     * Prints the figures of one policy, which have no target.
     *
     * @param report where the figures go
     * @param name the policy
     * @param figures its figures
     */
    private void print(FigureReport report, PolicyName name, RunFigures figures) {
        String begin = prefix + "/" + name.figureName() + "/";
        for (int at = 0; at < PERCENTILES.length; at++) {
            double latency = figures.latencyMillis(PERCENTILES[at]);
            report.add(begin + PERCENTILE_NAMES[at], latency, "ms");
        }
        report.add(begin + "time_slower_than_1.2", figures.slowPart(), "part");
        report.add(begin + "utilisation", figures.meanUtilisation(), "part");
        if (name == PolicyName.SERVICES_ALONE) {
            return;
        }
        report.add(begin + "batch_work", figures.work / HOUR, "processor-hours");
        report.add(begin + "jobs_finished", (double) figures.finished, "count");
        report.add(begin + "evictions", (double) figures.evictions, "count");
        report.add(begin + "work_lost", figures.lostWork / HOUR, "processor-hours");
        report.add(begin + "longest_wait", figures.longestWaitSeconds, "s");
        report.add(begin + "share_error", figures.shareError, "part");
        report.add(begin + "overcommits", (double) figures.overcommits, "count");
    }

    /**
     * Returns the figures of a policy.
     *
     * @param name the policy
     * @return the figures
     */
    private RunFigures of(PolicyName name) {
        return Objects.requireNonNull(policies.get(name));
    }
}
