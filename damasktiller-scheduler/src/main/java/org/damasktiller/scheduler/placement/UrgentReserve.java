package org.damasktiller.scheduler.placement;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

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

    /** The identifiers of the workers in the reserve. */
    private final Set<String> members = new HashSet<>();

    /** The demand of urgent tasks, in millicores: the recent maximum, which decays. */
    private double demandMillicores;

    /** When the reserve was last updated, in milliseconds. */
    private long updatedAtMillis;

    /** Creates an empty reserve. */
    public UrgentReserve() {}

    @Override
    public boolean contains(String id) {
        return members.contains(id);
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
        double wanted =
                Math.max(
                        capacity * MIN_FRACTION,
                        Math.min(capacity * MAX_FRACTION, demandMillicores * RESERVE_PER_DEMAND));
        List<ReserveCandidate> ordered = new ArrayList<>(workers);
        ordered.sort(
                Comparator.comparingLong(ReserveCandidate::longRunningMillicores)
                        .thenComparing(worker -> !members.contains(worker.id()))
                        .thenComparingInt(worker -> worker.id().hashCode()));
        Set<String> chosen = new HashSet<>();
        double reserved = 0;
        for (ReserveCandidate worker : ordered) {
            if (reserved >= wanted) {
                break;
            }
            chosen.add(worker.id());
            reserved += worker.capacityMillicores();
        }
        members.clear();
        members.addAll(chosen);
    }
}
