package org.damasktiller.scheduler.lookahead;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.damasktiller.scheduler.model.Resources;
import org.jspecify.annotations.Nullable;

/**
 * Keeps room for the largest waiting tasks on the workers that will have it soonest.
 *
 * <p>Load pattern: small tasks keep coming and take each gap as soon as it opens, so that a task
 * that is larger than any gap waits until the load is over. For each such task one worker is
 * chosen, and gets only starts that end before the room is complete or fit beside the task. The
 * times are estimates: each update computes them anew, which moves a reservation but does not break
 * it. At most one reservation a worker, and a bounded fraction of all workers, have one.
 */
public final class ReservationPlanner {

    /** The number of workers for each worker that may have a reservation. */
    private static final int WORKERS_PER_RESERVATION = 16;

    /** The time after which expected ends are too uncertain to plan with, in milliseconds. */
    private static final long HORIZON_MILLIS = 10_000;

    /**
     * By how much earlier another worker must have the room for a reservation to move there, in
     * milliseconds.
     */
    private static final long MOVE_GAIN_MILLIS = 250;

    /** The reservations by the identifier of the worker. */
    private Map<String, Reservation> reservations = new HashMap<>();

    /** Creates a planner without reservations. */
    public ReservationPlanner() {}

    /**
     * Plans all reservations anew.
     *
     * @param waiting the steps for which no worker has room now
     * @param forecasts the workers that may get starts
     * @param nowMillis the current time, in milliseconds
     */
    public void update(List<WaitingNeed> waiting, List<WorkerForecast> forecasts, long nowMillis) {
        Map<String, Reservation> planned = new HashMap<>();
        int limit = Math.max(1, forecasts.size() / WORKERS_PER_RESERVATION);
        List<WaitingNeed> largestFirst = new ArrayList<>(waiting);
        largestFirst.sort(
                Comparator.comparingLong((WaitingNeed need) -> -need.need().cpuMillicores())
                        .thenComparingLong(need -> -need.waitedMillis()));
        for (WaitingNeed need : largestFirst) {
            for (int task = 0; task < need.count() && planned.size() < limit; task++) {
                Reservation best = choose(need, forecasts, planned, nowMillis);
                if (best == null) {
                    break;
                }
                planned.put(best.worker(), best);
            }
        }
        reservations = planned;
    }

    /**
     * Chooses the worker that has room for a task soonest. A worker that keeps room for the step
     * already is preferred unless another one has it clearly sooner.
     *
     * @param need the step of the task
     * @param forecasts the workers that may get starts
     * @param planned the reservations planned so far
     * @param nowMillis the current time, in milliseconds
     * @return the reservation, or null if no worker has room within the horizon
     */
    private @Nullable Reservation choose(
            WaitingNeed need,
            List<WorkerForecast> forecasts,
            Map<String, Reservation> planned,
            long nowMillis) {
        WorkerForecast best = null;
        long bestRank = nowMillis + HORIZON_MILLIS;
        for (WorkerForecast forecast : forecasts) {
            if (planned.containsKey(forecast.worker()) || !need.mayUse().test(forecast.worker())) {
                continue;
            }
            long startMillis = forecast.startMillis(need.need(), nowMillis);
            if (startMillis == WorkerForecast.NEVER) {
                continue;
            }
            Reservation present = reservations.get(forecast.worker());
            boolean kept = present != null && present.step().equals(need.step());
            long rank = startMillis + (kept ? 0 : MOVE_GAIN_MILLIS);
            if (rank < bestRank) {
                best = forecast;
                bestRank = rank;
            }
        }
        if (best == null) {
            return null;
        }
        long startMillis = best.startMillis(need.need(), nowMillis);
        Resources spare = best.roomAt(startMillis).minus(need.need());
        return new Reservation(best.worker(), need.step(), need.need(), startMillis, spare);
    }

    /**
     * Returns whether a task may start on a worker without delaying a reserved one.
     *
     * @param worker the identifier of the worker
     * @param step the name of the task's step
     * @param need the resources of the task
     * @param endMillis when the task is expected to end, in milliseconds
     * @return whether the worker has no reservation, or one that admits the task
     */
    public boolean admits(String worker, String step, Resources need, long endMillis) {
        Reservation reservation = reservations.get(worker);
        return reservation == null || reservation.admits(step, need, endMillis);
    }

    /**
     * Records that a task has started on a worker. The start of a task of the reserved step ends
     * the reservation.
     *
     * @param worker the identifier of the worker
     * @param step the name of the task's step
     * @param need the resources of the task
     * @param endMillis when the task is expected to end, in milliseconds
     */
    public void onStarted(String worker, String step, Resources need, long endMillis) {
        reservations.computeIfPresent(
                worker,
                (id, reservation) ->
                        reservation.step().equals(step)
                                ? null
                                : reservation.afterStart(need, endMillis));
    }

    /**
     * Returns the reservations in force.
     *
     * @return a view, one for each worker that has one
     */
    public Collection<Reservation> reservations() {
        return reservations.values();
    }
}
