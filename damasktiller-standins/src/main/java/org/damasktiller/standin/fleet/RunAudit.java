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
 * or after as many of its failures were acknowledged as it has attempts.
 */
public final class RunAudit implements RunObserver {

    /** The number of failures after which a task must not start again. */
    private final int attempts;

    /** The number of active runs by task. */
    private final Map<TaskId, Integer> active = new HashMap<>();

    /** The tasks of which at least one run succeeded. */
    private final Set<TaskId> done = new HashSet<>();

    /** The tasks of which the end of a successful run was acknowledged. */
    private final Set<TaskId> acknowledgedDone = new HashSet<>();

    /** The number of acknowledged failed runs by task. */
    private final Map<TaskId, Integer> failures = new HashMap<>();

    /** The number of failed runs by task, acknowledged or not. */
    private final Map<TaskId, Integer> failedRuns = new HashMap<>();

    /** The number of starts by task. */
    private final Map<TaskId, Integer> starts = new HashMap<>();

    /** The violations found so far, one line each. */
    private final List<String> violations = new ArrayList<>();

    /**
     * Creates a checker.
     *
     * @param attempts the number of failures after which a task must not start again
     */
    public RunAudit(int attempts) {
        this.attempts = attempts;
    }

    @Override
    public void started(String worker, TaskId task, int run) {
        starts.merge(task, 1, Integer::sum);
        if (active.merge(task, 1, Integer::sum) > 1) {
            violations.add("two runs of " + task + ", run " + run + " on " + worker);
        }
        if (acknowledgedDone.contains(task)) {
            violations.add("start of " + task + " after its end was acknowledged");
        }
        if (failures.getOrDefault(task, 0) >= attempts) {
            violations.add("start of " + task + " after " + attempts + " failed runs");
        }
    }

    @Override
    public void ended(String worker, TaskId task, int run, @Nullable EndKind kind) {
        active.merge(task, -1, Integer::sum);
        if (kind == EndKind.DONE) {
            done.add(task);
        } else if (kind == EndKind.FAILED) {
            failedRuns.merge(task, 1, Integer::sum);
        }
    }

    @Override
    public void acknowledged(String worker, TaskId task, int run, EndKind kind) {
        if (kind == EndKind.DONE) {
            acknowledgedDone.add(task);
        } else if (kind == EndKind.FAILED) {
            failures.merge(task, 1, Integer::sum);
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
    public Set<TaskId> done() {
        return done;
    }

    /**
     * Returns how many runs of a task have started.
     *
     * @param task the task
     * @return the number of started runs
     */
    public int starts(TaskId task) {
        return starts.getOrDefault(task, 0);
    }

    /**
     * Returns the highest number of failed runs of any of the given tasks.
     *
     * @param tasks the tasks
     * @return the highest number, acknowledged or not; 0 if no run failed
     */
    public int mostFailures(List<TaskId> tasks) {
        return tasks.stream().mapToInt(task -> failedRuns.getOrDefault(task, 0)).max().orElse(0);
    }

    /**
     * Returns the number of active runs of a task.
     *
     * @param task the task
     * @return the number of runs that have started and not ended
     */
    public int active(TaskId task) {
        return active.getOrDefault(task, 0);
    }
}
