package org.damasktiller.scheduler.cell;

import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Set;
import java.util.TreeMap;
import org.damasktiller.scheduler.model.TaskId;
import org.jspecify.annotations.Nullable;

/**
 * The stored roster of a cell: the workers that may run tasks for its current or previous owners. A
 * successor reads it to learn which workers it has to fence.
 *
 * @param workers the identifiers of the workers
 * @param closed for each of them that gets no starts, the names of the tasks that may have a run
 *     there; a record of an earlier release has none
 * @param remainingMillis for each of them that gets no leases, how long after a successor's term
 *     began something may be active there at most, in milliseconds; a record of an earlier release
 *     has none
 * @param addresses the host and the port of those that may never answer again; a record of an
 *     earlier release has none, and an earlier release ignores them
 * @param boots when the boot began that has answered an owner, for each of them that has, in
 *     milliseconds since 1970; a record of an earlier release has none, and an earlier release
 *     ignores them
 * @param confirmed the names of the tasks of closed workers that are over before the remaining time
 *     of the worker; a record of an earlier release has none, and an earlier release waits for the
 *     remaining time
 * @param confirmedMillis how long after a successor's term began something of these tasks may be
 *     active there at most, in milliseconds
 */
public record RosterRecord(
        List<String> workers,
        Map<String, List<String>> closed,
        Map<String, Long> remainingMillis,
        Map<String, String> addresses,
        Map<String, Long> boots,
        Map<String, List<String>> confirmed,
        Map<String, Long> confirmedMillis) {

    /** The longest remaining time that counts as such, in milliseconds; more than any lease. */
    private static final long MAX_REMAINING_MILLIS = 60_000;

    /** Copies the components; one that is missing in the store counts as empty. */
    public RosterRecord {
        workers = List.copyOf(Objects.requireNonNullElse(workers, List.of()));
        closed = copyOf(closed);
        remainingMillis = Map.copyOf(Objects.requireNonNullElse(remainingMillis, Map.of()));
        addresses = Map.copyOf(Objects.requireNonNullElse(addresses, Map.of()));
        boots = Map.copyOf(Objects.requireNonNullElse(boots, Map.of()));
        confirmed = copyOf(confirmed);
        confirmedMillis = Map.copyOf(Objects.requireNonNullElse(confirmedMillis, Map.of()));
    }

    /**
     * Copies the names of tasks.
     *
     * @param names the names by worker, or null for none
     * @return the copy
     */
    private static Map<String, List<String>> copyOf(@Nullable Map<String, List<String>> names) {
        Map<String, List<String>> copy = new TreeMap<>(Objects.requireNonNullElse(names, Map.of()));
        copy.replaceAll((id, tasks) -> List.copyOf(tasks));
        return Map.copyOf(copy);
    }

    /**
     * Creates the record of a roster.
     *
     * @param entries the entries by the identifier of the worker
     * @return the record
     */
    static RosterRecord of(Map<String, RosterEntry> entries) {
        Map<String, List<String>> closed = new TreeMap<>();
        Map<String, Long> remainingMillis = new TreeMap<>();
        Map<String, String> addresses = new TreeMap<>();
        Map<String, Long> boots = new TreeMap<>();
        Map<String, List<String>> confirmed = new TreeMap<>();
        Map<String, Long> confirmedMillis = new TreeMap<>();
        entries.forEach(
                (id, entry) -> {
                    if (!entry.open()) {
                        closed.put(id, names(entry.tasks()));
                    }
                    if (!entry.allowsLeases()) {
                        remainingMillis.put(id, entry.remainingMillis());
                    }
                    if (entry.address() != null) {
                        addresses.put(id, entry.address());
                    }
                    if (entry.bootUnixMillis() != RosterEntry.UNKNOWN_BOOT) {
                        boots.put(id, entry.bootUnixMillis());
                    }
                    if (!entry.confirmed().tasks().isEmpty()) {
                        confirmed.put(id, names(entry.confirmed().tasks()));
                        confirmedMillis.put(id, entry.confirmed().remainingMillis());
                    }
                });
        return new RosterRecord(
                entries.keySet().stream().sorted().toList(),
                closed,
                remainingMillis,
                addresses,
                boots,
                confirmed,
                confirmedMillis);
    }

    /**
     * Returns the names of tasks.
     *
     * @param tasks the tasks
     * @return the names
     */
    private static List<String> names(Set<TaskId> tasks) {
        return tasks.stream().map(TaskId::toString).toList();
    }

    /**
     * Returns the entries of the roster. An entry with a task name that can't be read counts as
     * open, since any task may have a run there. A remaining time that no owner writes counts as
     * the longest lease.
     *
     * @return the entries by the identifier of the worker
     */
    Map<String, RosterEntry> entries() {
        Map<String, RosterEntry> entries = new TreeMap<>();
        workers.forEach(id -> entries.put(id, RosterEntry.OPEN));
        closed.forEach((id, names) -> entries.put(id, toEntry(names)));
        remainingMillis.forEach(
                (id, millis) -> {
                    if (isRemainingTime(millis)) {
                        entries.computeIfPresent(
                                id, (key, entry) -> entry.withRemainingMillis(millis));
                    }
                });
        addresses.forEach(
                (id, address) ->
                        entries.computeIfPresent(id, (key, entry) -> entry.withAddress(address)));
        boots.forEach(
                (id, boot) -> entries.computeIfPresent(id, (key, entry) -> entry.withBoot(boot)));
        confirmed.forEach(
                (id, names) -> entries.computeIfPresent(id, (key, entry) -> confirm(entry, id)));
        return entries;
    }

    /**
     * Adds the tasks that are over earlier to the entry of a worker. If that can't be read, all
     * tasks are held for the remaining time of the worker.
     *
     * @param entry the entry without them
     * @param id the identifier of the worker
     * @return the entry
     */
    private RosterEntry confirm(RosterEntry entry, String id) {
        long millis = confirmedMillis.getOrDefault(id, -1L);
        if (entry.open() || entry.allowsLeases() || !isRemainingTime(millis)) {
            return entry;
        }
        List<String> names = confirmed.getOrDefault(id, List.of());
        Set<TaskId> tasks = new HashSet<>(entry.tasks());
        tasks.removeIf(task -> !names.contains(task.toString()));
        return entry.withConfirmed(tasks, millis);
    }

    /**
     * Returns whether a remaining time is one that an owner writes.
     *
     * @param millis the time, in milliseconds
     * @return whether it is neither negative nor too long
     */
    private static boolean isRemainingTime(long millis) {
        return millis >= 0 && millis <= MAX_REMAINING_MILLIS;
    }

    /**
     * Creates the entry of a closed worker.
     *
     * @param names the names of its tasks
     * @return the entry, open if a name can't be read
     */
    private static RosterEntry toEntry(List<String> names) {
        Set<TaskId> tasks = new HashSet<>();
        for (String name : names) {
            TaskId task = TaskId.parse(name);
            if (task == null) {
                return RosterEntry.OPEN;
            }
            tasks.add(task);
        }
        return RosterEntry.closed(tasks);
    }
}
