package org.damasktiller.scheduler.cell;

import java.util.Set;
import org.damasktiller.scheduler.model.TaskId;

/**
 * The tasks of a closed worker whose starts it has all confirmed. Nothing of them can begin there
 * any more, so that they are over with the leases of the worker. A start without an answer may be
 * carried out later, and holds its task for longer. A worker has none while a start to a former
 * boot may arrive, since that would extend the leases of its runs.
 *
 * @param tasks the tasks
 * @param remainingMillis how long after a successor's term began a run of them may be active on the
 *     worker at most, in milliseconds
 */
record ConfirmedTasks(Set<TaskId> tasks, long remainingMillis) {

    /** No tasks. */
    static final ConfirmedTasks NONE = new ConfirmedTasks(Set.of(), 0);

    /** Copies the tasks. */
    ConfirmedTasks {
        tasks = Set.copyOf(tasks);
    }
}
