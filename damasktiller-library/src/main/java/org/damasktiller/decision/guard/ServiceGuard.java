package org.damasktiller.decision.guard;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.damasktiller.identity.WorkerId;

/**
 * Decides which batch tasks to slow down or stop to protect a guarded service. It throttles the
 * tasks that are predicted to do most harm, and only when none is left to throttle does it evict
 * the task that loses least work. A stale reading, one seen before, and one measured before the
 * last action could show lead to no action, so that one lagging reading does not act twice. Not
 * safe for use by several threads.
 */
public final class ServiceGuard {

    /** The speeds to which a task is throttled step by step, in percent, fastest first. */
    private static final int[] SPEEDS = {100, 50, 20, 5};

    /** The percent of full speed. */
    private static final double FULL_SPEED = 100;

    /** The settings. */
    private final GuardSettings settings;

    /** What is remembered of each worker. */
    private final Map<WorkerId, WorkerPressure> workers = new HashMap<>();

    /**
     * Creates a guard.
     *
     * @param settings the settings
     */
    public ServiceGuard(GuardSettings settings) {
        this.settings = settings;
    }

    /**
     * Forgets a worker that is gone.
     *
     * @param worker the worker
     */
    public void workerGone(WorkerId worker) {
        workers.remove(worker);
    }

    /**
     * Decides on a reading.
     *
     * @param reading the reading
     * @param nowMillis the time, in milliseconds
     * @return the actions, often none
     */
    public List<GuardAction> onReading(GuardReading reading, long nowMillis) {
        WorkerPressure state =
                workers.computeIfAbsent(reading.worker(), key -> new WorkerPressure());
        boolean stale = nowMillis - reading.toMillis() > settings.maximumAgeMillis();
        boolean early = reading.fromMillis() < state.actedMillis + settings.settleMillis();
        if (stale || early || reading.toMillis() <= state.readMillis) {
            return List.of();
        }
        state.readMillis = reading.toMillis();
        state.over = reading.pressure() > 1 ? state.over + 1 : 0;
        state.under = reading.pressure() < settings.releasePressure() ? state.under + 1 : 0;
        List<GuardAction> actions = decide(reading, state, nowMillis);
        if (!actions.isEmpty()) {
            state.actedMillis = nowMillis;
            state.under = 0;
        }
        return actions;
    }

    /**
     * Chooses between throttling, eviction and release.
     *
     * @param reading the reading
     * @param state what is remembered of the worker
     * @param nowMillis the time, in milliseconds
     * @return the actions
     */
    private List<GuardAction> decide(GuardReading reading, WorkerPressure state, long nowMillis) {
        if (state.under >= settings.readingsToRelease()) {
            return release(reading);
        }
        if (state.over < settings.readingsToThrottle()) {
            return List.of();
        }
        List<GuardAction> throttles = throttle(reading);
        if (!throttles.isEmpty()) {
            return throttles;
        }
        boolean rested = nowMillis - state.evictedMillis >= settings.evictionIntervalMillis();
        if (state.over < settings.readingsToEvict() || !rested) {
            return List.of();
        }
        List<GuardAction> evictions = evict(reading);
        if (!evictions.isEmpty()) {
            state.evictedMillis = nowMillis;
            state.over = 0;
        }
        return evictions;
    }

    /**
     * Throttles the most harmful tasks until the excess is predicted to be gone.
     *
     * @param reading the reading
     * @return the actions, none if no harmful task can be throttled further
     */
    private List<GuardAction> throttle(GuardReading reading) {
        List<GuardedTask> tasks = new ArrayList<>(reading.tasks());
        tasks.sort(Comparator.comparingDouble(GuardedTask::harm).reversed());
        double excess = reading.pressure() - 1;
        List<GuardAction> actions = new ArrayList<>();
        for (GuardedTask task : tasks) {
            int slower = slower(task.speedPercent());
            if (excess <= 0 || task.harm() < settings.smallestHarm()) {
                break;
            }
            if (slower < task.speedPercent()) {
                actions.add(new ThrottleTask(reading.worker(), task.job(), slower));
                excess -= task.harm() * (1 - (double) slower / task.speedPercent());
            }
        }
        return actions;
    }

    /**
     * Evicts the task that loses least work among those that do harm.
     *
     * @param reading the reading
     * @return the action, or none if no task may be evicted
     */
    private List<GuardAction> evict(GuardReading reading) {
        Optional<GuardedTask> least =
                reading.tasks().stream()
                        .filter(GuardedTask::evictable)
                        .filter(task -> fullHarm(task) >= settings.smallestHarm())
                        .min(Comparator.comparingLong(GuardedTask::workAtRiskMillis));
        return least.<List<GuardAction>>map(
                        task -> List.of(new EvictTask(reading.worker(), task.job())))
                .orElse(List.of());
    }

    /**
     * Ends the throttling of the least harmful throttled task by one step.
     *
     * @param reading the reading
     * @return the action, or none if no task is throttled
     */
    private List<GuardAction> release(GuardReading reading) {
        Optional<GuardedTask> least =
                reading.tasks().stream()
                        .filter(task -> task.speedPercent() < FULL_SPEED)
                        .min(Comparator.comparingDouble(ServiceGuard::fullHarm));
        return least.<List<GuardAction>>map(
                        task ->
                                List.of(
                                        new ThrottleTask(
                                                reading.worker(),
                                                task.job(),
                                                faster(task.speedPercent()))))
                .orElse(List.of());
    }

    /**
     * Returns the harm that a task would do at full speed.
     *
     * @param task the task
     * @return the slowdown
     */
    private static double fullHarm(GuardedTask task) {
        return task.harm() * FULL_SPEED / Math.max(1, task.speedPercent());
    }

    /**
     * Returns the next slower speed.
     *
     * @param speed the speed, in percent
     * @return the next slower one, or the same if it is the slowest
     */
    private static int slower(int speed) {
        for (int step : SPEEDS) {
            if (step < speed) {
                return step;
            }
        }
        return speed;
    }

    /**
     * Returns the next faster speed.
     *
     * @param speed the speed, in percent
     * @return the next faster one, at most full speed
     */
    private static int faster(int speed) {
        int next = SPEEDS[0];
        for (int step : SPEEDS) {
            if (step > speed) {
                next = step;
            }
        }
        return next;
    }
}
