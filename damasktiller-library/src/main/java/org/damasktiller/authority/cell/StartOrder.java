package org.damasktiller.authority.cell;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.Deque;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.damasktiller.identity.KindName;
import org.damasktiller.resource.Resources;

/**
 * Chooses the waiting jobs of a worker that are started next: the more urgent class first, within a
 * class the kind that holds least of the cell for its weight, within a kind the oldest. A job that
 * does not fit, or whose kind or tenant is at its limit, holds nobody else up.
 */
final class StartOrder {

    /** The waiting jobs that are looked at for one choice at most. */
    private static final int MAXIMUM_CANDIDATES = 4_096;

    /** How long a limit keeps a worker from being looked at again, in milliseconds. */
    private static final long LIMIT_PAUSE_MILLIS = 100;

    /** The rules of the kinds. */
    private final StartPolicy policy;

    /** The workers of the cell. */
    private final Collection<WorkerLane> lanes;

    /** The jobs that run or may run, as counted at a moment. */
    private HeldWork held;

    /** When they were counted, in milliseconds. */
    private long countedMillis = Long.MIN_VALUE;

    /**
     * Creates an order.
     *
     * @param policy the rules of the kinds
     * @param lanes the workers of the cell, which are read anew for each choice
     */
    StartOrder(StartPolicy policy, Collection<WorkerLane> lanes) {
        this.policy = policy;
        this.lanes = lanes;
        this.held = HeldWork.of(lanes);
    }

    /**
     * Chooses the jobs to start on a worker.
     *
     * @param lane the worker
     * @param most how many are chosen at most
     * @param nowMillis the time, in milliseconds
     * @return the jobs, which fit together
     */
    List<Job> choose(WorkerLane lane, int most, long nowMillis) {
        if (lane.waiting.isEmpty() || !(lane.startsPossible || nowMillis >= lane.limitedMillis)) {
            return List.of();
        }
        if (nowMillis != countedMillis) {
            held = HeldWork.of(lanes);
            countedMillis = nowMillis;
        }
        Map<KindName, Deque<Job>> queues = queues(lane);
        List<Job> chosen = new ArrayList<>();
        Resources reserved = lane.reserved();
        boolean limited = false;
        while (chosen.size() < most && !queues.isEmpty()) {
            Deque<Job> queue = next(queues);
            Job job = queue.remove();
            if (!held.allows(job.record().submission(), rule(job))) {
                queues.remove(kind(job));
                limited = true;
                continue;
            }
            Resources wanted = reserved.plus(job.resources());
            if (wanted.fitsWithin(lane.capacity)) {
                reserved = wanted;
                chosen.add(job);
                held.add(job);
            }
            if (queue.isEmpty()) {
                queues.remove(kind(job));
            }
        }
        lane.startsPossible = !chosen.isEmpty();
        lane.limitedMillis = limited ? nowMillis + LIMIT_PAUSE_MILLIS : Long.MAX_VALUE;
        return chosen;
    }

    /**
     * Sorts the waiting jobs of a worker by kind.
     *
     * @param lane the worker
     * @return the jobs of each kind, in order
     */
    private static Map<KindName, Deque<Job>> queues(WorkerLane lane) {
        Map<KindName, Deque<Job>> queues = new LinkedHashMap<>();
        Iterator<Job> waiting = lane.waiting.iterator();
        for (int count = 0; count < MAXIMUM_CANDIDATES && waiting.hasNext(); count++) {
            Job job = waiting.next();
            queues.computeIfAbsent(kind(job), kind -> new ArrayDeque<>()).add(job);
        }
        return queues;
    }

    /**
     * Chooses the kind whose first job is next.
     *
     * @param queues the jobs of each kind, at least one
     * @return the jobs of the kind
     */
    private Deque<Job> next(Map<KindName, Deque<Job>> queues) {
        Comparator<Job> order =
                Comparator.comparing((Job job) -> job.record().submission().workClass())
                        .thenComparingDouble(job -> held.share(kind(job), rule(job).weight()))
                        .thenComparingLong(job -> job.record().changedMillis())
                        .thenComparing(StartOrder::kind);
        return queues.values().stream()
                .min(Comparator.comparing(Deque::element, order))
                .orElseThrow();
    }

    /**
     * Returns the kind of a job.
     *
     * @param job the job
     * @return the kind
     */
    private static KindName kind(Job job) {
        return job.record().submission().task().kind();
    }

    /**
     * Returns the rule of a job.
     *
     * @param job the job
     * @return the rule
     */
    private StartRule rule(Job job) {
        return policy.ruleFor(job.record().submission());
    }
}
