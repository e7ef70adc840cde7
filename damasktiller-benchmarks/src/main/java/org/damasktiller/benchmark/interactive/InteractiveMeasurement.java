package org.damasktiller.benchmark.interactive;

import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.LongFunction;
import org.damasktiller.benchmark.Bound;
import org.damasktiller.benchmark.FigureReport;
import org.damasktiller.benchmark.Measurement;
import org.damasktiller.standin.endpoint.EndpointBehaviour;
import org.damasktiller.standin.endpoint.EndpointFault;

/**
 * Measures the interactive path under load and faults. Gateway, endpoints and load run as threads
 * with event loops of their own in one process, because a process starts no other.
 */
public final class InteractiveMeasurement implements Measurement {

    /** The endpoints of a zone. */
    private static final int ENDPOINTS = 15;

    /** How long an endpoint takes for a request, in milliseconds. */
    private static final long SERVICE_MILLIS = 5;

    /** The rate of the ordinary load, in requests a second. */
    private static final int RATE = 1500;

    /** The factor by which one endpoint is slowed. */
    private static final int SLOW_FACTOR = 10;

    /** How long callers wait, in milliseconds. */
    private static final long DEADLINE_MILLIS = 2000;

    /** The time after which a leaving endpoint must get nothing new, in milliseconds. */
    private static final long LEAVING_MILLIS = 3000;

    /** One of how many connections goes silent. */
    private static final int SILENT_EVERY = 10;

    /** The endpoints in the burst. */
    private static final int BURST_ENDPOINTS = 5;

    /** How long an endpoint takes for a request in the burst, in milliseconds. */
    private static final long BURST_SERVICE_MILLIS = 20;

    /** How many requests an endpoint runs at once. */
    private static final int SLOTS = 8;

    /** How many times its capacity the system is offered in the burst. */
    private static final int BURST_FACTOR = 5;

    /** How long callers wait in the burst, in milliseconds. */
    private static final long BURST_DEADLINE_MILLIS = 1000;

    /** The part of the capacity that a burst must leave. */
    private static final double GOODPUT_TARGET = 0.9;

    /** The most attempts for each request in a full outage. */
    private static final double AMPLIFICATION_TARGET = 1.1;

    /** The requests with random faults in a long run. */
    private static final long FAULT_REQUESTS = 1_000_000;

    /** The requests with random faults in a short run. */
    private static final long QUICK_FAULT_REQUESTS = 30_000;

    /** How many requests with random faults are under way at once. */
    private static final int FAULT_CONCURRENCY = 100;

    /** How long callers wait under random faults, in milliseconds. */
    private static final long FAULT_DEADLINE_MILLIS = 300;

    /** The delay of late answers, beyond the deadline, in milliseconds. */
    private static final long LATE_MILLIS = 400;

    /** The longest run with random faults, in milliseconds. */
    private static final long FAULT_LIMIT_MILLIS = 900_000;

    /** How long one load lasts in a short run, in milliseconds. */
    private static final long QUICK_MILLIS = 2000;

    /** How long one load lasts, in milliseconds. */
    private static final long LONG_MILLIS = 6_000;

    /** The number of milliseconds in a second. */
    private static final double MILLIS_PER_SECOND = 1000;

    /** The number of nanoseconds in a second. */
    private static final double NANOS_PER_SECOND = 1e9;

    /** The requests under way at once when throughput is measured. */
    private static final int THROUGHPUT_CONCURRENCY = 64;

    /** The percentiles reported. */
    private static final double[] PERCENTILES = {50, 99, 99.9};

    /** The names of the percentiles reported. */
    private static final String[] PERCENTILE_NAMES = {"p50", "p99", "p999"};

    /** The unit of latency. */
    private static final String MILLIS = "ms";

    /** The unit of counts. */
    private static final String REQUESTS = "requests";

    /** Creates the measurement. */
    public InteractiveMeasurement() {}

    @Override
    public void run(boolean quick, FigureReport report) {
        long millis = quick ? QUICK_MILLIS : LONG_MILLIS;
        latency(millis, report);
        throughput(millis, report);
        slowEndpoint(millis, report);
        silentConnections(millis, report);
        leavingEndpoint(millis, report);
        burst(millis, report);
        paidLink(millis, report);
        outage(millis, report);
        randomFaults(quick ? QUICK_FAULT_REQUESTS : FAULT_REQUESTS, report);
        new ConnectionMemory().measure(report);
    }

    /**
     * Compares a healthy zone through the gateway with direct calls in turn.
     *
     * @param millis the length of a load, in milliseconds
     * @param report where the figures go
     */
    private static void latency(long millis, FigureReport report) {
        try (Rig rig = zone();
                LoadClient client = new LoadClient()) {
            client.run(LoadPlan.rate(rig::endpointUrl, RATE, millis / 2, DEADLINE_MILLIS));
            client.run(LoadPlan.rate(through(rig), RATE, millis / 2, DEADLINE_MILLIS));
            LoadResult direct =
                    client.run(LoadPlan.rate(rig::endpointUrl, RATE, millis, DEADLINE_MILLIS));
            LoadResult gateway =
                    client.run(LoadPlan.rate(through(rig), RATE, millis, DEADLINE_MILLIS));
            for (int index = 0; index < PERCENTILES.length; index++) {
                double base = direct.millis(PERCENTILES[index]);
                double all = gateway.millis(PERCENTILES[index]);
                report.add("direct_" + PERCENTILE_NAMES[index], base, MILLIS);
                report.add("added_" + PERCENTILE_NAMES[index], all - base, MILLIS);
            }
        }
    }

    /**
     * Measures how many requests a second one core of the gateway carries.
     *
     * @param millis the length of a load, in milliseconds
     * @param report where the figures go
     */
    private static void throughput(long millis, FigureReport report) {
        try (Rig rig = new Rig(ENDPOINTS, 0, EndpointBehaviour.healthy(0));
                LoadClient client = new LoadClient()) {
            LoadPlan plan =
                    LoadPlan.closed(through(rig), THROUGHPUT_CONCURRENCY, millis, DEADLINE_MILLIS);
            client.run(plan);
            long before = rig.gatewayCpuNanos();
            LoadResult result = client.run(plan);
            double cores = (rig.gatewayCpuNanos() - before) / NANOS_PER_SECOND;
            report.add("requests_per_gateway_core_second", result.answered / cores, "requests/s");
        }
    }

    /**
     * Slows one endpoint.
     *
     * @param millis the length of a load, in milliseconds
     * @param report where the figures go
     */
    private static void slowEndpoint(long millis, FigureReport report) {
        EndpointBehaviour slow = EndpointBehaviour.healthy(SERVICE_MILLIS).slowed(SLOW_FACTOR);
        compare("slow", millis, report, rig -> rig.endpoint(0).behave(slow));
    }

    /**
     * Silences a part of the open connections.
     *
     * @param millis the length of a load, in milliseconds
     * @param report where the figures go
     */
    private static void silentConnections(long millis, FigureReport report) {
        compare("silent", millis, report, rig -> rig.silenceConnections(SILENT_EVERY));
    }

    /**
     * Compares the gateway with plain round robin while something is wrong.
     *
     * @param name the start of the figures' names
     * @param millis the length of a load, in milliseconds
     * @param report where the figures go
     * @param disturbance makes something wrong after a warm-up
     */
    private static void compare(
            String name, long millis, FigureReport report, Disturbance disturbance) {
        try (Rig rig = zone();
                LoadClient client = new LoadClient()) {
            client.run(LoadPlan.rate(through(rig), RATE, millis / 2, DEADLINE_MILLIS));
            disturbance.apply(rig);
            LoadResult gateway =
                    client.run(LoadPlan.rate(through(rig), RATE, millis, DEADLINE_MILLIS));
            report.add(name + "_gateway_p99", gateway.millis(PERCENTILES[1]), MILLIS);
            count(report, name + "_gateway_unanswered", gateway.begun - gateway.answered);
        }
        try (Rig rig = zone();
                LoadClient client = new LoadClient()) {
            client.run(LoadPlan.rate(rig::endpointUrl, RATE, millis / 2, DEADLINE_MILLIS));
            disturbance.apply(rig);
            LoadResult plain =
                    client.run(LoadPlan.rate(rig::endpointUrl, RATE, millis, DEADLINE_MILLIS));
            report.add(name + "_round_robin_p99", plain.millis(PERCENTILES[1]), MILLIS);
            count(report, name + "_round_robin_unanswered", plain.begun - plain.answered);
        }
    }

    /**
     * Lets one endpoint leave under load.
     *
     * @param millis the length of a load, in milliseconds
     * @param report where the figures go
     */
    private static void leavingEndpoint(long millis, FigureReport report) {
        try (Rig rig = zone();
                LoadClient client = new LoadClient()) {
            CompletableFuture<Void> leave =
                    CompletableFuture.runAsync(
                            () ->
                                    rig.endpoint(0)
                                            .behave(
                                                    EndpointBehaviour.healthy(SERVICE_MILLIS)
                                                            .leaving()),
                            CompletableFuture.delayedExecutor(millis / 2, TimeUnit.MILLISECONDS));
            LoadResult result =
                    client.run(
                            LoadPlan.rate(
                                    through(rig), RATE, millis + LEAVING_MILLIS, DEADLINE_MILLIS));
            leave.join();
            report.add("leaving_p99", result.millis(PERCENTILES[1]), MILLIS);
            count(report, "leaving_unanswered", result.begun - result.answered);
            count(report, "leaving_refusals", rig.counters().received() - rig.counters().run());
        }
    }

    /**
     * Offers several times the capacity.
     *
     * @param millis the length of a load, in milliseconds
     * @param report where the figures go
     */
    private static void burst(long millis, FigureReport report) {
        EndpointBehaviour behaviour = EndpointBehaviour.healthy(BURST_SERVICE_MILLIS);
        try (Rig rig = new Rig(BURST_ENDPOINTS, 0, behaviour);
                LoadClient client = new LoadClient()) {
            int concurrency = BURST_ENDPOINTS * SLOTS;
            LoadResult full =
                    client.run(
                            LoadPlan.closed(
                                    rig::endpointUrl, concurrency, millis, BURST_DEADLINE_MILLIS));
            double capacity = full.answeredDuringLoad * MILLIS_PER_SECOND / full.tookMillis;
            int offered = (int) (BURST_FACTOR * capacity);
            client.run(LoadPlan.rate(through(rig), offered / BURST_FACTOR / 2, millis / 2, 1000));
            LoadResult burst =
                    client.run(LoadPlan.rate(through(rig), offered, millis, BURST_DEADLINE_MILLIS));
            double goodput = burst.answeredDuringLoad * MILLIS_PER_SECOND / burst.tookMillis;
            report.add("burst_capacity", capacity, "requests/s");
            count(report, "burst_offered", burst.begun);
            report.add(
                    "burst_goodput", goodput / capacity, "share", GOODPUT_TARGET, Bound.AT_LEAST);
        }
    }

    /**
     * Overloads the near endpoints while the table allows spill over the paid link.
     *
     * @param millis the length of a load, in milliseconds
     * @param report where the figures go
     */
    private static void paidLink(long millis, FigureReport report) {
        EndpointBehaviour behaviour = EndpointBehaviour.healthy(BURST_SERVICE_MILLIS);
        try (Rig rig = new Rig(2, 2, behaviour);
                LoadClient client = new LoadClient()) {
            client.run(LoadPlan.rate(through(rig), RATE, millis, BURST_DEADLINE_MILLIS));
            count(report, "paid_link_requests_near_usable", rig.farCounters().received());
        }
    }

    /**
     * Lets every endpoint fail every request.
     *
     * @param millis the length of a load, in milliseconds
     * @param report where the figures go
     */
    private static void outage(long millis, FigureReport report) {
        EndpointBehaviour broken =
                EndpointBehaviour.healthy(0).failing(() -> EndpointFault.CLOSED, 0);
        try (Rig rig = new Rig(ENDPOINTS, 0, broken);
                LoadClient client = new LoadClient()) {
            LoadResult result =
                    client.run(LoadPlan.rate(through(rig), RATE, millis, DEADLINE_MILLIS));
            count(report, "outage_requests", result.begun);
            report.add(
                    "outage_amplification",
                    (double) rig.counters().received() / result.begun,
                    "attempts/request",
                    AMPLIFICATION_TARGET,
                    Bound.AT_MOST);
            report.add("outage_p99", result.millis(PERCENTILES[1]), MILLIS);
        }
    }

    /**
     * Sends requests with random faults, half of them of an at-most-once kind.
     *
     * @param requests how many requests are sent
     * @param report where the figures go
     */
    private static void randomFaults(long requests, FigureReport report) {
        EndpointBehaviour behaviour = EndpointBehaviour.healthy(1);
        try (Rig rig = new Rig(ENDPOINTS, 0, behaviour);
                LoadClient client = new LoadClient()) {
            for (int index = 0; index < ENDPOINTS; index++) {
                rig.endpoint(index).behave(behaviour.failing(new RandomFaults(index), LATE_MILLIS));
            }
            String once = rig.gatewayUrl(Rig.AT_MOST_ONCE_KIND);
            String often = rig.gatewayUrl(Rig.IDEMPOTENT_KIND);
            LoadResult result =
                    client.run(
                            new LoadPlan(
                                    number -> number % 2 == 0 ? once : often,
                                    true,
                                    0,
                                    FAULT_CONCURRENCY,
                                    requests,
                                    FAULT_LIMIT_MILLIS,
                                    FAULT_DEADLINE_MILLIS));
            count(report, "faults_requests", result.begun);
            count(report, "faults_answered", result.answered);
            count(report, "faults_without_answer", result.failed);
            countNone(report, "doubled_at_most_once", doubled(rig, result.begun));
            countNone(report, "crossed_or_partial", result.crossed);
            long untrue =
                    result.notRun.stream()
                            .filter(key -> rig.counters().executions(key) > 0)
                            .count();
            countNone(report, "not_run_but_run", untrue);
        }
    }

    /**
     * Reports a number of requests.
     *
     * @param report where the figure goes
     * @param name the name of the figure
     * @param requests the number
     */
    private static void count(FigureReport report, String name, long requests) {
        report.add(name, (double) requests, REQUESTS);
    }

    /**
     * Reports a number of requests that has to be zero.
     *
     * @param report where the figure goes
     * @param name the name of the figure
     * @param requests the number
     */
    private static void countNone(FigureReport report, String name, long requests) {
        report.add(name, (double) requests, REQUESTS, 0, Bound.AT_MOST);
    }

    /**
     * Counts the at-most-once requests that ran more than once.
     *
     * @param rig the endpoints
     * @param requests how many requests were sent
     * @return the number
     */
    private static long doubled(Rig rig, long requests) {
        long doubled = 0;
        for (long number = 2; number <= requests; number += 2) {
            doubled += rig.counters().executions("key-" + number) > 1 ? 1 : 0;
        }
        return doubled;
    }

    /**
     * Starts a healthy zone.
     *
     * @return the zone
     */
    private static Rig zone() {
        return new Rig(ENDPOINTS, 0, EndpointBehaviour.healthy(SERVICE_MILLIS));
    }

    /**
     * Returns the address of idempotent calls through the gateway.
     *
     * @param rig the gateway
     * @return the address for any number
     */
    private static LongFunction<String> through(Rig rig) {
        String url = rig.gatewayUrl(Rig.IDEMPOTENT_KIND);
        return number -> url;
    }

    /** Makes something wrong. */
    @FunctionalInterface
    private interface Disturbance {

        /**
         * Makes something wrong.
         *
         * @param rig the gateway and its endpoints
         */
        void apply(Rig rig);
    }
}
