package org.damasktiller.benchmark.decisions;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.PriorityQueue;
import java.util.SplittableRandom;
import org.damasktiller.decision.dispatch.DispatchAction;
import org.damasktiller.decision.dispatch.ServiceReport;
import org.damasktiller.decision.dispatch.UsageReport;

/** Takes measurements on the workers and delivers them with a lag. */
final class Reports {

    /** The time between two reports of a worker, in seconds. */
    private static final int INTERVAL_SECONDS = 10;

    /** The shortest lag, in seconds. */
    private static final int SHORTEST_LAG_SECONDS = 5;

    /** The longest lag, in seconds. */
    private static final int LONGEST_LAG_SECONDS = 15;

    /** The relative error of a measured latency. */
    private static final double LATENCY_ERROR = 0.03;

    /** The milliseconds of a second. */
    private static final long SECOND = 1000;

    /** The reports on their way. */
    private final PriorityQueue<Delivery> deliveries =
            new PriorityQueue<>(
                    Comparator.comparingInt(Delivery::second)
                            .thenComparingLong(Delivery::sequence));

    /** The source of randomness. */
    private final SplittableRandom random;

    /** The number of reports so far. */
    private long sequence;

    /**
     * Creates the reports of a run.
     *
     * @param seed the seed
     */
    Reports(long seed) {
        random = new SplittableRandom(seed);
    }

    /**
     * Measures a worker, if it is its turn.
     *
     * @param worker the worker
     * @param number its number
     * @param second the time, in seconds
     */
    void measure(FakeWorker worker, int number, int second) {
        for (FakeService service : worker.services) {
            service.latencySum += service.latencyMillis();
            service.reportSeconds++;
        }
        if ((second + number) % INTERVAL_SECONDS != 0) {
            return;
        }
        int lag = random.nextInt(SHORTEST_LAG_SECONDS, LONGEST_LAG_SECONDS + 1);
        int due = second + lag;
        for (FakeService service : worker.services) {
            double error = 1 + LATENCY_ERROR * random.nextGaussian();
            double latency = service.latencySum / service.reportSeconds * error;
            long from = (second + 1L - service.reportSeconds) * SECOND;
            ServiceReport report =
                    new ServiceReport(
                            service.job.id(),
                            Math.round(service.used()),
                            latency,
                            from,
                            (second + 1L) * SECOND);
            service.latencySum = 0;
            service.reportSeconds = 0;
            deliveries.add(new Delivery(due, sequence++, (p, now) -> p.onService(report, now)));
        }
        for (FakeTask task : worker.tasks.values()) {
            double risk = (task.progress - task.checkpoint) * task.size.milliProcessors();
            UsageReport report =
                    new UsageReport(task.job.id(), task.usage(), task.reserved, Math.round(risk));
            deliveries.add(new Delivery(due, sequence++, (p, now) -> p.onUsage(report, now)));
        }
    }

    /**
     * Delivers what is due.
     *
     * @param policy the policy
     * @param second the time, in seconds
     * @return the actions of the policy
     */
    List<DispatchAction> deliver(Policy policy, int second) {
        List<DispatchAction> actions = new ArrayList<>();
        while (!deliveries.isEmpty() && deliveries.peek().second() <= second) {
            actions.addAll(deliveries.remove().report().to(policy, second * SECOND));
        }
        return actions;
    }

    /** Delivers one report. */
    private interface Report {

        /**
         * Delivers the report.
         *
         * @param policy the policy
         * @param nowMillis the time, in milliseconds
         * @return its actions
         */
        List<DispatchAction> to(Policy policy, long nowMillis);
    }

    /**
     * Holds a report on its way.
     *
     * @param second when it arrives, in seconds
     * @param sequence the order of those that arrive together
     * @param report the report
     */
    private record Delivery(int second, long sequence, Report report) {}
}
