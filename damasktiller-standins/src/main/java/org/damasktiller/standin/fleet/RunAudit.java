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
 * Checks what must never happen: two active runs of a task, a start after an acknowledged end as
 * done, and a start after as many acknowledged failures as there are attempts.
 */
public final class RunAudit implements RunObserver {

    /** How often a task may fail. */
    private final int attempts;

    /** The active runs by task. */
    private final Map<TaskId, Integer> active = new HashMap<>();

    /** The tasks that have ended as done at least once. */
    private final Set<TaskId> done = new HashSet<>();

    /** The tasks whose end as done was acknowledged. */
    private final Set<TaskId> acknowledgedDone = new HashSet<>();

    /** The acknowledged failures by task. */
    private final Map<TaskId, Integer> failures = new HashMap<>();

    /** The failed runs by task, acknowledged or not. */
    private final Map<TaskId, Integer> failedRuns = new HashMap<>();

    /** The number of starts by task. */
    private final Map<TaskId, Integer> starts = new HashMap<>();

    /** What was found. */
    private final List<String> violations = new ArrayList<>();

    /**
     * Creates an audit.
     *
     * @param attempts how often a task may fail
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
     * Returns what was found.
     *
     * @return a line for each violation
     */
    public List<String> violations() {
        return violations;
    }

    /**
     * Returns the tasks that have ended as done.
     *
     * @return the tasks
     */
    public Set<TaskId> done() {
        return done;
    }

    /**
     * Returns how often a task was started.
     *
     * @param task the task
     * @return the number of starts
     */
    public int starts(TaskId task) {
        return starts.getOrDefault(task, 0);
    }

    /**
     * Returns how many runs failed of the task that failed most often.
     *
     * @param tasks the tasks to look at
     * @return the number of its failed runs
     */
    public int mostFailures(List<TaskId> tasks) {
        return tasks.stream().mapToInt(task -> failedRuns.getOrDefault(task, 0)).max().orElse(0);
    }

    /**
     * Returns the number of active runs of a task.
     *
     * @param task the task
     * @return the number
     */
    public int active(TaskId task) {
        return active.getOrDefault(task, 0);
    }
}
