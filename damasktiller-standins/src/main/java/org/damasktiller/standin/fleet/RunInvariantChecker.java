package org.damasktiller.standin.fleet;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.damasktiller.scheduler.model.EndKind;
import org.damasktiller.scheduler.model.TaskId;
import org.jspecify.annotations.Nullable;

/**
 * Checks the safety properties of the scheduler on the events of the simulated workers. A task must
 * never have two active runs, and it must not start again after its successful end was acknowledged
 * or after as many of its failures were acknowledged as it has attempts. A task that crashes its
 * workers may be started only a few times more after several of them have crashed, and no start may
 * exceed the capacity of its worker.
 */
public final class RunInvariantChecker implements RunObserver {

    /** The number of crashes after which the starts of a task are limited. */
    private static final int LIMITING_CRASHES = 3;

    /** The number of starts of a task that are allowed after that many crashes. */
    private static final int ALLOWED_STARTS_AFTER_CRASHES = 2;

    /** The number of failures after which a task must not start again. */
    private final int maximumAttempts;

    /** The number of active runs by task. */
    private final Map<TaskId, Integer> activeRunCounts = new HashMap<>();

    /** The tasks of which at least one run succeeded. */
    private final Set<TaskId> succeededTasks = new HashSet<>();

    /** The tasks of which the end of a successful run was acknowledged. */
    private final Set<TaskId> acknowledgedSuccesses = new HashSet<>();

    /** The number of acknowledged failed runs by task. */
    private final Map<TaskId, Integer> acknowledgedFailures = new HashMap<>();

    /** The number of failed runs by task, acknowledged or not. */
    private final Map<TaskId, Integer> failedRunCounts = new HashMap<>();

    /** The number of starts by task. */
    private final Map<TaskId, Integer> startCounts = new HashMap<>();

    /** The number of workers that runs of a task have crashed, by task. */
    private final Map<TaskId, Integer> crashCounts = new HashMap<>();

    /** The number of starts by task since its starts are limited. */
    private final Map<TaskId, Integer> startsAfterCrashes = new HashMap<>();

    /** The violations found so far, one line each. */
    private final List<String> violations = new ArrayList<>();

    /**
     * Creates a checker.
     *
     * @param maximumAttempts the number of failures after which a task must not start again
     */
    public RunInvariantChecker(int maximumAttempts) {
        this.maximumAttempts = maximumAttempts;
    }

    @Override
    public void started(String worker, TaskId task, int run) {
        startCounts.merge(task, 1, Integer::sum);
        if (activeRunCounts.merge(task, 1, Integer::sum) > 1) {
            violations.add("two runs of " + task + ", run " + run + " on " + worker);
        }
        if (acknowledgedSuccesses.contains(task)) {
            violations.add("start of " + task + " after its end was acknowledged");
        }
        if (acknowledgedFailures.getOrDefault(task, 0) >= maximumAttempts) {
            violations.add("start of " + task + " after " + maximumAttempts + " failed runs");
        }
        if (crashCount(task) >= LIMITING_CRASHES
                && startsAfterCrashes.merge(task, 1, Integer::sum) > ALLOWED_STARTS_AFTER_CRASHES) {
            violations.add("start of " + task + " after " + crashCount(task) + " crashes");
        }
    }

    @Override
    public void overloaded(String worker, TaskId task) {
        violations.add("start of " + task + " beyond the capacity of " + worker);
    }

    @Override
    public void crashed(String worker, TaskId task) {
        crashCounts.merge(task, 1, Integer::sum);
    }

    @Override
    public void ended(String worker, TaskId task, int run, @Nullable EndKind kind) {
        activeRunCounts.merge(task, -1, Integer::sum);
        if (kind == EndKind.DONE) {
            succeededTasks.add(task);
        } else if (kind == EndKind.FAILED) {
            failedRunCounts.merge(task, 1, Integer::sum);
        }
    }

    @Override
    public void acknowledged(String worker, TaskId task, int run, EndKind kind) {
        if (kind == EndKind.DONE) {
            acknowledgedSuccesses.add(task);
        } else if (kind == EndKind.FAILED) {
            acknowledgedFailures.merge(task, 1, Integer::sum);
        }
    }

    /**
     * Returns the violations found so far.
     *
     * @return one line for each violation, empty if there are none
     */
    public List<String> violations() {
        return violations;
    }

    /**
     * Returns the tasks of which at least one run succeeded.
     *
     * @return the tasks
     */
    public Set<TaskId> succeededTasks() {
        return succeededTasks;
    }

    /**
     * Returns how many runs of a task have started.
     *
     * @param task the task
     * @return the number of started runs
     */
    public int startCount(TaskId task) {
        return startCounts.getOrDefault(task, 0);
    }

    /**
     * Returns how many workers runs of a task have crashed.
     *
     * @param task the task
     * @return the number of crashes
     */
    public int crashCount(TaskId task) {
        return crashCounts.getOrDefault(task, 0);
    }

    /**
     * Returns the highest number of failed runs of any of the given tasks.
     *
     * @param tasks the tasks
     * @return the highest number, acknowledged or not; 0 if no run failed
     */
    public int maximumFailures(List<TaskId> tasks) {
        return tasks.stream()
                .mapToInt(task -> failedRunCounts.getOrDefault(task, 0))
                .max()
                .orElse(0);
    }

    /**
     * Returns the highest number of workers that runs of any of the given tasks have crashed.
     *
     * @param tasks the tasks
     * @return the highest number, 0 if none did
     */
    public int maximumCrashes(List<TaskId> tasks) {
        return tasks.stream().mapToInt(this::crashCount).max().orElse(0);
    }

    /**
     * Returns the number of active runs of a task.
     *
     * @param task the task
     * @return the number of runs that have started and not ended
     */
    public int activeRunCount(TaskId task) {
        return activeRunCounts.getOrDefault(task, 0);
    }
}
