package org.damasktiller.scheduler.cell;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;

/**
 * The tasks of a step for which a pass has found no worker. Another task of the step is tried
 * unless one of them could have used the same workers: what refuses a worker may depend on whether
 * the task has run, how long it has waited and where it has failed.
 */
final class RefusedTasks {

    /** The most tasks of a step that are refused in a pass; each takes a look at all workers. */
    private static final int MAX_REFUSED_TASKS = 8;

    /** The order in which tasks that may use more workers come first. */
    private static final Comparator<TaskRecord> START_ORDER =
            Comparator.comparing((TaskRecord task) -> !task.everRan)
                    .thenComparingLong(task -> task.readySinceMillis);

    /** The refused tasks. */
    private final List<TaskRecord> refused = new ArrayList<>(1);

    /** Creates a list without tasks. */
    RefusedTasks() {}

    /**
     * Orders the tasks of a step so that those that may use more workers come first: long-running
     * tasks that have run before, then those that have waited longest.
     *
     * @param tasks the tasks
     * @return the tasks in the order in which they are tried
     */
    static List<TaskRecord> inStartOrder(List<TaskRecord> tasks) {
        List<TaskRecord> ordered = new ArrayList<>(tasks);
        ordered.sort(START_ORDER);
        return ordered;
    }

    /**
     * Counts the tasks that are tried before or like another one.
     *
     * @param ordered tasks in the order in which they are tried
     * @param task another task of their step
     * @return the number of tasks that do not come after it
     */
    static int countBefore(List<TaskRecord> ordered, TaskRecord task) {
        return (int)
                ordered.stream().takeWhile(other -> START_ORDER.compare(other, task) <= 0).count();
    }

    /**
     * Adds a task for which no worker was found.
     *
     * @param task the task
     */
    void add(TaskRecord task) {
        refused.add(task);
    }

    /**
     * Returns whether a task need not be tried in the pass.
     *
     * @param task the task, which is not suspect
     * @return whether a refused one may use all the workers that it may use, or many were refused
     */
    boolean covers(TaskRecord task) {
        return refused.size() >= MAX_REFUSED_TASKS
                || refused.stream().anyMatch(first -> mayUseWorkersOf(first, task));
    }

    /**
     * Returns whether a task may use each worker that another one of its step may use.
     *
     * @param freer the task
     * @param stricter the other task
     * @return whether it has waited and run no less, and has failed on no other worker
     */
    private static boolean mayUseWorkersOf(TaskRecord freer, TaskRecord stricter) {
        return (freer.everRan || !stricter.everRan)
                && freer.readySinceMillis <= stricter.readySinceMillis
                && stricter.avoidedWorkerIds.containsAll(freer.avoidedWorkerIds);
    }
}
