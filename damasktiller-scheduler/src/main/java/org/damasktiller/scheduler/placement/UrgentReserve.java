package org.damasktiller.scheduler.placement;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Keeps some workers free of new long-running tasks, so that large urgent tasks find a worker with
 * enough free CPU.
 *
 * <p>Load pattern: long-running tasks fill the workers before and between urgent tasks that need a
 * third of a worker or all of it. The same CPU left free in small parts on every worker would fit
 * none of them. The reserve follows the recent demand of urgent tasks, since an unused reserve
 * delays long-running tasks.
 */
public final class UrgentReserve implements WorkerReserve {

    /** The smallest reserve, as a fraction of the CPU of all workers. */
    private static final double MIN_FRACTION = 0.06;

    /** The largest reserve, as a fraction of the CPU of all workers. */
    private static final double MAX_FRACTION = 0.15;

    /** The reserve relative to the demand: tasks of different sizes leave gaps on a worker. */
    private static final double RESERVE_PER_DEMAND = 1.2;

    /** The time in which a demand that is over loses half of its weight, in milliseconds. */
    private static final double HALF_LIFE_MILLIS = 8_000;

    /** For each worker in the reserve, the CPU that recent urgent tasks need, in millicores. */
    private final Map<String, Long> members = new HashMap<>();

    /** The demand of urgent tasks, in millicores: the recent maximum, which decays. */
    private double demandMillicores;

    /** When the reserve was last updated, in milliseconds. */
    private long updatedAtMillis;

    /** Creates an empty reserve. */
    public UrgentReserve() {}

    @Override
    public boolean contains(String id) {
        return members.containsKey(id);
    }

    @Override
    public long demandedMillicores(String id) {
        return members.getOrDefault(id, 0L);
    }

    @Override
    public int size() {
        return members.size();
    }

    /**
     * Adapts the reserve to the demand. Workers with the least CPU reserved for long-running tasks
     * are taken first, and members before others.
     *
     * @param workers the usable workers of the cell
     * @param urgentMillicores the CPU of the running and waiting urgent tasks, in millicores
     * @param nowMillis the current time, in milliseconds
     */
    @Override
    public void update(
            Collection<ReserveCandidate> workers, long urgentMillicores, long nowMillis) {
        double elapsedMillis = nowMillis - updatedAtMillis;
        double decay = Math.pow(2, -elapsedMillis / HALF_LIFE_MILLIS);
        demandMillicores = Math.max((double) urgentMillicores, demandMillicores * decay);
        updatedAtMillis = nowMillis;
        long capacity = workers.stream().mapToLong(ReserveCandidate::capacityMillicores).sum();
        double demanded = Math.min(capacity * MAX_FRACTION, demandMillicores * RESERVE_PER_DEMAND);
        double wanted = Math.max(capacity * MIN_FRACTION, demanded);
        List<ReserveCandidate> ordered = new ArrayList<>(workers);
        ordered.sort(
                Comparator.comparingLong(ReserveCandidate::longRunningMillicores)
                        .thenComparing(worker -> !members.containsKey(worker.id()))
                        .thenComparingInt(worker -> worker.id().hashCode()));
        Map<String, Long> chosen = new HashMap<>();
        double reserved = 0;
        for (ReserveCandidate worker : ordered) {
            if (reserved >= wanted) {
                break;
            }
            double demandLeft = Math.max(0, demanded - reserved);
            chosen.put(worker.id(), Math.min(worker.capacityMillicores(), (long) demandLeft));
            reserved += worker.capacityMillicores();
        }
        members.clear();
        members.putAll(chosen);
    }
}
