package org.damasktiller.scheduler.cell;

import java.util.Set;
import org.damasktiller.scheduler.model.TaskId;

/**
 * The entry of a worker in the roster. While it is open, the owner may start tasks there. A closed
 * worker gets no starts; only the tasks that the entry names may still have a run there.
 *
 * @param open whether the owner may start tasks on the worker
 * @param tasks the tasks that may have a run on the worker, or an end there that is not stored;
 *     empty if the entry is open
 */
record RosterEntry(boolean open, Set<TaskId> tasks) {

    /** The entry of a worker that may get starts. */
    static final RosterEntry OPEN = new RosterEntry(true, Set.of());

    /** Copies the tasks. */
    RosterEntry {
        tasks = Set.copyOf(tasks);
    }

    /**
     * Creates the entry of a worker that gets no starts.
     *
     * @param tasks the tasks that may have a run on the worker
     * @return the entry
     */
    static RosterEntry closed(Set<TaskId> tasks) {
        return new RosterEntry(false, tasks);
    }
}
