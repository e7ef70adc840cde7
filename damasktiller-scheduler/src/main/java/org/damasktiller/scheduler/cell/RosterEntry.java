package org.damasktiller.scheduler.cell;

import java.util.HashSet;
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
 * @param bootUnixMillis when the boot of the worker that has answered an owner began, in
 *     milliseconds since 1970, or {@link #UNKNOWN_BOOT}
 * @param confirmed those of the tasks that are over earlier than the entry; none if the worker may
 *     get leases
 */
record RosterEntry(
        boolean open,
        Set<TaskId> tasks,
        long remainingMillis,
        @Nullable String address,
        long bootUnixMillis,
        ConfirmedTasks confirmed) {

    /** The remaining time of a worker to which the owner may grant leases. */
    static final long LONGEST_LEASE = Long.MAX_VALUE;

    /** The boot of a worker that has answered no owner, or of a record of an earlier release. */
    static final long UNKNOWN_BOOT = 0;

    /** The entry of a worker that may get starts. */
    static final RosterEntry OPEN =
            new RosterEntry(true, Set.of(), LONGEST_LEASE, null, UNKNOWN_BOOT, ConfirmedTasks.NONE);

    /** The unit to which remaining times are rounded up, in milliseconds; bounds the writes. */
    private static final long REMAINING_UNIT_MILLIS = 200;

    /** Copies the tasks. */
    RosterEntry {
        tasks = Set.copyOf(tasks);
    }

    /**
     * Creates the entry of a worker that gets no starts but may get leases. Its address and its
     * boot are not known.
     *
     * @param tasks the tasks that may have a run on the worker
     * @return the entry
     */
    static RosterEntry closed(Set<TaskId> tasks) {
        return new RosterEntry(
                false, tasks, LONGEST_LEASE, null, UNKNOWN_BOOT, ConfirmedTasks.NONE);
    }

    /**
     * Creates the same entry with an address.
     *
     * @param newAddress the host and the port of the worker, or null if they are not known
     * @return the entry
     */
    RosterEntry withAddress(@Nullable String newAddress) {
        return new RosterEntry(open, tasks, remainingMillis, newAddress, bootUnixMillis, confirmed);
    }

    /**
     * Creates the same entry with a boot.
     *
     * @param newBootUnixMillis when the boot of the worker began, in milliseconds since 1970, or
     *     {@link #UNKNOWN_BOOT}
     * @return the entry
     */
    RosterEntry withBoot(long newBootUnixMillis) {
        return new RosterEntry(open, tasks, remainingMillis, address, newBootUnixMillis, confirmed);
    }

    /**
     * Creates the entry of a worker that gets neither starts nor leases any more.
     *
     * @param millis the time after which nothing of a former owner can be active there, in
     *     milliseconds; rounded up
     * @return the entry, with the tasks, the address and the boot of this one
     */
    RosterEntry withRemainingMillis(long millis) {
        return new RosterEntry(open, tasks, roundUp(millis), address, bootUnixMillis, confirmed);
    }

    /**
     * Creates the same entry, of a worker that gets no leases, with tasks that are over earlier.
     *
     * @param confirmedTasks the tasks whose starts the worker has all confirmed
     * @param millis the time after which nothing of them can be active there, in milliseconds;
     *     rounded up
     * @return the entry
     */
    RosterEntry withConfirmed(Set<TaskId> confirmedTasks, long millis) {
        ConfirmedTasks newConfirmed =
                confirmedTasks.isEmpty()
                        ? ConfirmedTasks.NONE
                        : new ConfirmedTasks(confirmedTasks, roundUp(millis));
        return new RosterEntry(open, tasks, remainingMillis, address, bootUnixMillis, newConfirmed);
    }

    /**
     * Creates the same entry without the tasks that are over earlier.
     *
     * @return the entry
     */
    RosterEntry withoutConfirmed() {
        Set<TaskId> left = new HashSet<>(tasks);
        left.removeAll(confirmed.tasks());
        return new RosterEntry(
                open, left, remainingMillis, address, bootUnixMillis, ConfirmedTasks.NONE);
    }

    /**
     * Rounds a remaining time up.
     *
     * @param millis the time, in milliseconds; not positive if it has passed
     * @return the time, in milliseconds
     */
    private static long roundUp(long millis) {
        long units = (Math.max(0, millis) + REMAINING_UNIT_MILLIS - 1) / REMAINING_UNIT_MILLIS;
        return units * REMAINING_UNIT_MILLIS;
    }

    /**
     * Returns whether a boot of the worker began after the one of the entry.
     *
     * @param otherBootUnixMillis when it began, in milliseconds since 1970
     * @return whether the worker has restarted since; false if the boot of the entry is not known
     */
    boolean isBefore(long otherBootUnixMillis) {
        return bootUnixMillis != UNKNOWN_BOOT && otherBootUnixMillis > bootUnixMillis;
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
