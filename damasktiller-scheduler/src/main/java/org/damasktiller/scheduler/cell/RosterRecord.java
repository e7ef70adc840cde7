package org.damasktiller.scheduler.cell;

import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Set;
import java.util.TreeMap;
import org.damasktiller.scheduler.model.TaskId;

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
 */
public record RosterRecord(
        List<String> workers,
        Map<String, List<String>> closed,
        Map<String, Long> remainingMillis,
        Map<String, String> addresses,
        Map<String, Long> boots) {

    /** The longest remaining time that counts as such, in milliseconds; more than any lease. */
    private static final long MAX_REMAINING_MILLIS = 60_000;

    /** Copies the components; one that is missing in the store counts as empty. */
    public RosterRecord {
        workers = List.copyOf(Objects.requireNonNullElse(workers, List.of()));
        Map<String, List<String>> tasks =
                new TreeMap<>(Objects.requireNonNullElse(closed, Map.of()));
        tasks.replaceAll((id, names) -> List.copyOf(names));
        closed = Map.copyOf(tasks);
        remainingMillis = Map.copyOf(Objects.requireNonNullElse(remainingMillis, Map.of()));
        addresses = Map.copyOf(Objects.requireNonNullElse(addresses, Map.of()));
        boots = Map.copyOf(Objects.requireNonNullElse(boots, Map.of()));
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
        entries.forEach(
                (id, entry) -> {
                    if (!entry.open()) {
                        closed.put(id, entry.tasks().stream().map(TaskId::toString).toList());
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
                });
        return new RosterRecord(
                entries.keySet().stream().sorted().toList(),
                closed,
                remainingMillis,
                addresses,
                boots);
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
                    if (millis >= 0 && millis <= MAX_REMAINING_MILLIS) {
                        entries.computeIfPresent(
                                id, (key, entry) -> entry.withRemainingMillis(millis));
                    }
                });
        addresses.forEach(
                (id, address) ->
                        entries.computeIfPresent(id, (key, entry) -> entry.withAddress(address)));
        boots.forEach(
                (id, boot) -> entries.computeIfPresent(id, (key, entry) -> entry.withBoot(boot)));
        return entries;
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
