package org.damasktiller.lab.load;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.ToIntFunction;
import org.damasktiller.scheduler.model.Resources;
import org.damasktiller.scheduler.model.TaskId;
import org.damasktiller.scheduler.port.ProcessRuntime;
import org.damasktiller.standin.fleet.RunInvariantChecker;

/**
 * Checks that long-running tasks that have run are not interrupted for too long while workers have
 * room for them. Only valid while workers and entry VMs are neither lost nor cut off.
 */
public final class InterruptionChecker {

    /** The time after the last run of a task that does not count, in milliseconds. */
    private static final long GRACE_MILLIS = 6_000;

    /** The time that a task may then wait while there is room for it, in milliseconds. */
    private static final long MAX_WAIT_MILLIS = 3_000;

    /** The number of tasks for which there must be room, so that one of them has to start. */
    private static final int REQUIRED_ROOM = 2;

    /** The clock. */
    private final ProcessRuntime runtime;

    /** The callers and their submissions. */
    private final CallerSimulator callers;

    /** The runs on the simulated workers. */
    private final RunInvariantChecker runChecker;

    /** The resources of the tasks that callers have submitted. */
    private final SubmittedTaskBehaviour taskBehaviour;

    /** Returns the number of tasks with the given demand that workers have room for. */
    private final ToIntFunction<Resources> room;

    /** The current interruptions by task. */
    private final Map<TaskId, Interruption> interruptions = new HashMap<>();

    /** The violations found so far, one line for each task. */
    private final Set<String> violations = new LinkedHashSet<>();

    /** The number of interruptions so far. */
    private int count;

    /** The duration of the longest interruption so far, in milliseconds. */
    private long longestMillis;

    /**
     * Creates a checker.
     *
     * @param runtime the clock
     * @param callers the callers and their submissions
     * @param runChecker the runs on the simulated workers
     * @param taskBehaviour the resources of the tasks that callers have submitted
     * @param room returns the number of tasks with the given demand that workers have room for;
     *     need not count beyond 2
     */
    public InterruptionChecker(
            ProcessRuntime runtime,
            CallerSimulator callers,
            RunInvariantChecker runChecker,
            SubmittedTaskBehaviour taskBehaviour,
            ToIntFunction<Resources> room) {
        this.runtime = runtime;
        this.callers = callers;
        this.runChecker = runChecker;
        this.taskBehaviour = taskBehaviour;
        this.room = room;
    }

    /**
     * Checks each accepted long-running submission whose cancellation was not requested. Must be
     * called at short intervals, by which an interruption may be underestimated.
     */
    public void check() {
        for (TrackedSubmission tracked : callers.submissions()) {
            if (!tracked.isAccepted() || !tracked.submission().hasLongRunningStep()) {
                continue;
            }
            for (TaskId task : GuaranteeChecker.tasksOf(tracked)) {
                if (tracked.isCancelRequested()
                        || runChecker.startCount(task) == 0
                        || runChecker.activeRunCount(task) > 0) {
                    interruptions.remove(task);
                } else {
                    checkInterrupted(task);
                }
            }
        }
    }

    /**
     * Checks a task that is interrupted. The time without enough room does not count.
     *
     * @param task the task
     */
    private void checkInterrupted(TaskId task) {
        long now = runtime.nowMillis();
        Interruption interruption = interruptions.get(task);
        if (interruption == null) {
            interruption = new Interruption(now, now + GRACE_MILLIS + MAX_WAIT_MILLIS);
            count++;
        }
        if (room.applyAsInt(taskBehaviour.reserved(task)) < REQUIRED_ROOM) {
            interruption =
                    new Interruption(
                            interruption.sinceMillis(),
                            Math.max(interruption.dueMillis(), now + MAX_WAIT_MILLIS));
        }
        interruptions.put(task, interruption);
        longestMillis = Math.max(longestMillis, now - interruption.sinceMillis());
        if (now > interruption.dueMillis()) {
            violations.add(task + ": interrupted for too long although there is room");
        }
    }

    /**
     * Returns the violations found so far.
     *
     * @return one line for each task
     */
    public List<String> violations() {
        return new ArrayList<>(violations);
    }

    /**
     * Returns the number of interruptions so far, short and long.
     *
     * @return the number
     */
    public int count() {
        return count;
    }

    /**
     * Returns the duration of the longest interruption so far, also of one without room.
     *
     * @return the duration, in milliseconds
     */
    public long longestMillis() {
        return longestMillis;
    }

    /**
     * The time in which a task has no run after it has run.
     *
     * @param sinceMillis when the task was first seen without a run, in milliseconds
     * @param dueMillis when the task has to run again at the latest, in milliseconds
     */
    private record Interruption(long sinceMillis, long dueMillis) {}
}
