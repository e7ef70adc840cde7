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
 * @param remainingMillis how long after a successor's term began a former owner may still have
 *     something active on the worker at most, in milliseconds, or {@link #LONGEST_LEASE}
 */
record RosterEntry(boolean open, Set<TaskId> tasks, long remainingMillis) {

    /** The remaining time of a worker to which the owner may grant leases. */
    static final long LONGEST_LEASE = Long.MAX_VALUE;

    /** The entry of a worker that may get starts. */
    static final RosterEntry OPEN = new RosterEntry(true, Set.of(), LONGEST_LEASE);

    /** The unit to which remaining times are rounded up, in milliseconds; bounds the writes. */
    private static final long REMAINING_UNIT_MILLIS = 200;

    /** Copies the tasks. */
    RosterEntry {
        tasks = Set.copyOf(tasks);
    }

    /**
     * Creates the entry of a worker that gets no starts but may get leases.
     *
     * @param tasks the tasks that may have a run on the worker
     * @return the entry
     */
    static RosterEntry closed(Set<TaskId> tasks) {
        return new RosterEntry(false, tasks, LONGEST_LEASE);
    }

    /**
     * Creates the entry of a worker that gets neither starts nor leases any more.
     *
     * @param millis the time after which nothing of a former owner can be active there, in
     *     milliseconds; rounded up
     * @return the entry, with the tasks of this one
     */
    RosterEntry withRemainingMillis(long millis) {
        long units = (Math.max(0, millis) + REMAINING_UNIT_MILLIS - 1) / REMAINING_UNIT_MILLIS;
        return new RosterEntry(open, tasks, units * REMAINING_UNIT_MILLIS);
    }

    /**
     * Returns whether the owner may grant leases to the worker.
     *
     * @return whether a successor waits for the longest lease
     */
    boolean allowsLeases() {
        return remainingMillis == LONGEST_LEASE;
    }
}
