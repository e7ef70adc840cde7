package org.damasktiller.benchmark.decisions;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.EnumMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import org.damasktiller.benchmark.FigureReport;
import org.damasktiller.benchmark.Measurement;

/** Runs all scenarios under all policies at both deployments' sizes and prints the figures. */
public final class DecisionsMeasurement implements Measurement {

    /** The seeds with which settings were chosen. */
    static final long[] TUNING_SEEDS = {101, 102, 103};

    /** The seeds of the figures that are reported. */
    static final long[] REPORTING_SEEDS = {9001, 9002, 9003};

    /** The word that selects one scenario. */
    private static final String SCENARIO_WORD = "--scenario";

    /** The word that selects the measurement of the cost alone. */
    private static final String COST_WORD = "--cost";

    /** The word that selects the seeds for tuning. */
    private static final String TUNING_WORD = "--tuning";

    /** The length of a run, in seconds. */
    private static final int FULL_SECONDS = 7200;

    /** The length of a quick run, in seconds. */
    private static final int QUICK_SECONDS = 3600;

    /** The number of threads. */
    private static final int THREADS = 6;

    /** The scenarios to run. */
    private final List<Scenario> scenarios = new ArrayList<>(Arrays.asList(Scenario.values()));

    /** Whether to use the seeds for tuning. */
    private boolean tuning;

    /** Whether to measure the cost of decisions. */
    private boolean cost = true;

    /** Creates the measurement of all scenarios. */
    public DecisionsMeasurement() {}

    @Override
    public boolean accept(List<String> words) {
        List<String> left = new ArrayList<>(words);
        tuning = left.remove(TUNING_WORD);
        int at = left.indexOf(SCENARIO_WORD);
        if (left.remove(COST_WORD)) {
            scenarios.clear();
        }
        if (at >= 0 && at + 1 < left.size()) {
            String name = left.get(at + 1);
            scenarios.removeIf(scenario -> !scenario.commandName().equals(name));
            left.subList(at, at + 2).clear();
            cost = false;
        }
        return left.isEmpty() && (cost || !scenarios.isEmpty());
    }

    @Override
    public void run(boolean quick, FigureReport report) {
        if (cost) {
            new DecisionCost(quick).print(report);
        }
        ExecutorService threads = Executors.newFixedThreadPool(THREADS);
        try {
            List<SubmittedRuns> runs = new ArrayList<>();
            for (Deployment deployment : Deployment.values()) {
                for (Scenario scenario : scenarios) {
                    runs.add(submit(threads, deployment, scenario, quick));
                }
            }
            for (SubmittedRuns each : runs) {
                new ScenarioFigures(each.prefix(), each.scenario(), sums(each.policies()))
                        .print(report);
            }
        } finally {
            threads.shutdownNow();
        }
    }

    /**
     * Submits the runs of a scenario.
     *
     * @param threads the threads
     * @param deployment the deployment
     * @param scenario the scenario
     * @param quick whether the runs are short
     * @return the runs
     */
    private SubmittedRuns submit(
            ExecutorService threads, Deployment deployment, Scenario scenario, boolean quick) {
        int seconds = quick ? QUICK_SECONDS : FULL_SECONDS;
        long[] all = tuning ? TUNING_SEEDS : REPORTING_SEEDS;
        long[] seeds = quick ? Arrays.copyOf(all, 1) : all;
        Map<PolicyName, List<Future<RunFigures>>> policies = new EnumMap<>(PolicyName.class);
        for (PolicyName name : PolicyName.values()) {
            List<Future<RunFigures>> each = new ArrayList<>();
            for (long seed : seeds) {
                each.add(threads.submit(() -> runOne(deployment, scenario, name, seed, seconds)));
            }
            policies.put(name, each);
        }
        String prefix = deployment.name().toLowerCase(Locale.ROOT) + "/" + scenario.commandName();
        return new SubmittedRuns(prefix, scenario, policies);
    }

    /**
     * Runs one scenario under one policy.
     *
     * @param deployment the deployment
     * @param scenario the scenario
     * @param name the policy
     * @param seed the seed
     * @param seconds the length of the run, in seconds
     * @return the figures
     */
    static RunFigures runOne(
            Deployment deployment, Scenario scenario, PolicyName name, long seed, int seconds) {
        boolean batch = name != PolicyName.SERVICES_ALONE;
        return new ScenarioRun(deployment, scenario, name.create(seed), batch, seed, seconds).run();
    }

    /**
     * Adds the figures of the seeds together.
     *
     * @param policies the runs
     * @return the figures of each policy
     */
    private static Map<PolicyName, RunFigures> sums(
            Map<PolicyName, List<Future<RunFigures>>> policies) {
        Map<PolicyName, RunFigures> sums = new EnumMap<>(PolicyName.class);
        policies.forEach(
                (name, runs) -> {
                    RunFigures sum = new RunFigures();
                    runs.forEach(run -> sum.add(result(run)));
                    sums.put(name, sum);
                });
        return sums;
    }

    /**
     * Waits for a run.
     *
     * @param run the run
     * @return its figures
     */
    private static RunFigures result(Future<RunFigures> run) {
        try {
            return run.get();
        } catch (InterruptedException error) {
            Thread.currentThread().interrupt();
            throw new IllegalStateException(error);
        } catch (ExecutionException error) {
            throw new IllegalStateException(error);
        }
    }

    /**
     * Holds the runs of a scenario.
     *
     * @param prefix the begin of the names of its figures
     * @param scenario the scenario
     * @param policies the runs of each policy
     */
    private record SubmittedRuns(
            String prefix, Scenario scenario, Map<PolicyName, List<Future<RunFigures>>> policies) {}
}
