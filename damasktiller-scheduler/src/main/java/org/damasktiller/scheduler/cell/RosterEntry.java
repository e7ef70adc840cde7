package org.damasktiller.scheduler.cell;

import java.util.Set;
import org.damasktiller.scheduler.model.TaskId;
import org.jspecify.annotations.Nullable;

/**
 * The entry of a worker in the roster. While it is open, the owner may start tasks there. A closed
 * worker gets no starts; only the tasks that the entry names may still have a run there.
 *
 * @param open whether the owner may start tasks on the worker
 * @param tasks the tasks that may have a run on the worker, or an end there that is not stored;
 *     empty if the entry is open
 * @param remainingMillis how long after a successor's term began a former owner may still have
 *     something active on the worker at most, in milliseconds, or {@link #LONGEST_LEASE}
 * @param address the host and the port at which the worker has answered an owner, or null if they
 *     are not known; nothing is active on the worker any more once another one answers there
 */
record RosterEntry(
        boolean open, Set<TaskId> tasks, long remainingMillis, @Nullable String address) {

    /** The remaining time of a worker to which the owner may grant leases. */
    static final long LONGEST_LEASE = Long.MAX_VALUE;

    /** The entry of a worker that may get starts. */
    static final RosterEntry OPEN = new RosterEntry(true, Set.of(), LONGEST_LEASE, null);

    /** The unit to which remaining times are rounded up, in milliseconds; bounds the writes. */
    private static final long REMAINING_UNIT_MILLIS = 200;

    /** Copies the tasks. */
    RosterEntry {
        tasks = Set.copyOf(tasks);
    }

    /**
     * Creates the entry of a worker that gets no starts but may get leases. Its address is not
     * known.
     *
     * @param tasks the tasks that may have a run on the worker
     * @return the entry
     */
    static RosterEntry closed(Set<TaskId> tasks) {
        return new RosterEntry(false, tasks, LONGEST_LEASE, null);
    }

    /**
     * Creates the same entry with an address.
     *
     * @param newAddress the host and the port of the worker, or null if they are not known
     * @return the entry
     */
    RosterEntry withAddress(@Nullable String newAddress) {
        return new RosterEntry(open, tasks, remainingMillis, newAddress);
    }

    /**
     * Creates the entry of a worker that gets neither starts nor leases any more.
     *
     * @param millis the time after which nothing of a former owner can be active there, in
     *     milliseconds; rounded up
     * @return the entry, with the tasks and the address of this one
     */
    RosterEntry withRemainingMillis(long millis) {
        long units = (Math.max(0, millis) + REMAINING_UNIT_MILLIS - 1) / REMAINING_UNIT_MILLIS;
        return new RosterEntry(open, tasks, units * REMAINING_UNIT_MILLIS, address);
    }

    /**
     * Returns whether the owner may start tasks on the worker.
     *
     * @return whether the entry is open and the worker may get leases
     */
    boolean allowsStarts() {
        return open && allowsLeases();
    }

    /**
     * Returns whether a task may have had a run on the worker.
     *
     * @return whether the entry is open or names tasks
     */
    boolean mayHaveRuns() {
        return open || !tasks.isEmpty();
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
