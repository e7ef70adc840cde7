package org.damasktiller.scheduler.cell;

import java.util.Collections;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import org.damasktiller.scheduler.model.TaskId;
import org.jspecify.annotations.Nullable;

/**
 * Tracks what the owners of earlier terms may still run or start, from the roster that they have
 * stored. A worker of the roster is excluded once it has answered with this owner's fencing token,
 * another worker has answered at its address, or all leases of previous owners there are over.
 * Until then a worker that is open in the roster may run or accept any task of theirs, and a closed
 * one may run the tasks that its entry names.
 */
final class PreviousOwners {

    /** The time between two log lines on the workers that the owner waits for, in milliseconds. */
    private static final long LOG_INTERVAL_MILLIS = 1_000;

    /** The most workers that such a log line names. */
    private static final int MAX_LOGGED_WORKERS = 12;

    /**
     * How long the owner writes entries of workers that have not answered as they were, in
     * milliseconds. If their remaining time were reduced at once, each worker that answers later
     * would have to wait for another write before it gets leases and starts.
     */
    private static final long ANSWER_GRACE_MILLIS = 400;

    /** The shared state of the cell's owner. */
    private final CellContext context;

    /** The entries of the stored roster whose workers are not excluded, by worker identifier. */
    private final Map<String, RosterEntry> unfencedEntries = new TreeMap<>();

    /** The tasks of the closed workers among them, with the number of these workers. */
    private final Map<TaskId, Integer> heldTasks = new HashMap<>();

    /** The number of the open workers among them. */
    private int openCount;

    /** When the first of the entries expires, in milliseconds, or a time before. */
    private long firstExpireAtMillis = Long.MAX_VALUE;

    /** Whether the roster has been read. */
    private boolean loaded;

    /** Whether previous owners can no longer start anything. */
    private boolean fenced;

    /** When the awaited workers are logged again, in milliseconds. */
    private long logDueMillis;

    /**
     * Creates a tracker that has not read the roster.
     *
     * @param context the shared state of the cell's owner
     */
    PreviousOwners(CellContext context) {
        this.context = context;
    }

    /**
     * Adds the workers of the stored roster.
     *
     * @param entries the entries by the identifier of the worker
     */
    void load(Map<String, RosterEntry> entries) {
        unfencedEntries.putAll(entries);
        loaded = true;
        logDueMillis = context.now() + LOG_INTERVAL_MILLIS;
        entries.values().forEach(entry -> count(entry, 1));
        updateFirstExpiry();
    }

    /**
     * Returns the identifiers of the workers that previous owners may still use.
     *
     * @return a live view of the identifiers
     */
    Set<String> unfencedWorkerIds() {
        return Collections.unmodifiableSet(unfencedEntries.keySet());
    }

    /**
     * Returns the entry to write for a worker that previous owners may still use. Since this owner
     * grants nothing there, the remaining time is reduced by the age of the term.
     *
     * @param workerId the identifier of the worker
     * @return the entry, or null if the worker is excluded
     */
    @Nullable RosterEntry unfencedEntry(String workerId) {
        RosterEntry entry = unfencedEntries.get(workerId);
        boolean recent = context.now() - context.term.startedAtMillis() < ANSWER_GRACE_MILLIS;
        if (entry == null || recent) {
            return entry;
        }
        return entry.withRemainingMillis(remainingMillis(entry))
                .withConfirmed(
                        entry.confirmed().tasks(), confirmedExpireAtMillis(entry) - context.now());
    }

    /**
     * Returns whether the remaining time of a worker is over but an ownership check has to show it.
     *
     * @return whether a check should be sent now
     */
    boolean needsOwnershipCheck() {
        return context.now() >= firstExpireAtMillis && !unfencedEntries.isEmpty();
    }

    /**
     * Returns how long previous owners may still have something active on a worker.
     *
     * @param entry the entry of the worker in the roster that was read
     * @return the time, in milliseconds, not positive if it has passed
     */
    private long remainingMillis(RosterEntry entry) {
        return expireAtMillis(entry) - context.now();
    }

    /**
     * Returns when nothing of previous owners can be active on a worker any more.
     *
     * @param entry the entry of the worker in the roster that was read
     * @return the time, in milliseconds
     */
    private long expireAtMillis(RosterEntry entry) {
        long startedAtMillis = context.term.startedAtMillis();
        long latestMillis = context.leases.previousLeasesExpireAtMillis(startedAtMillis);
        return entry.allowsLeases()
                ? latestMillis
                : Math.min(latestMillis, startedAtMillis + entry.remainingMillis());
    }

    /**
     * Returns when nothing of the confirmed tasks of an entry can be active any more.
     *
     * @param entry the entry of the worker in the roster that was read
     * @return the time, in milliseconds; that of the whole entry if it has no such tasks
     */
    private long confirmedExpireAtMillis(RosterEntry entry) {
        long expireAtMillis = expireAtMillis(entry);
        return entry.confirmed().tasks().isEmpty()
                ? expireAtMillis
                : Math.min(
                        expireAtMillis,
                        context.term.startedAtMillis() + entry.confirmed().remainingMillis());
    }

    /**
     * Records that a worker has answered with this owner's fencing token.
     *
     * @param worker the worker
     * @return whether it has restarted since a previous owner may have had a run there
     */
    boolean excludeAnswered(WorkerRecord worker) {
        RosterEntry entry = unfencedEntries.get(worker.id);
        if (entry == null) {
            return false;
        }
        exclude(worker.id);
        if (!entry.isBefore(worker.bootUnixMillis)) {
            return false;
        }
        context.log.log(
                "owner.restarted",
                "cell",
                context.cell,
                "worker",
                worker.id,
                "born",
                worker.bootUnixMillis,
                "before",
                entry.bootUnixMillis(),
                "open",
                entry.open(),
                "tasks",
                entry.tasks().size(),
                "age",
                context.now() - context.term.startedAtMillis());
        return entry.mayHaveRuns();
    }

    /**
     * Excludes a worker.
     *
     * @param workerId the identifier of the worker
     */
    private void exclude(String workerId) {
        RosterEntry entry = unfencedEntries.remove(workerId);
        if (entry != null) {
            count(entry, -1);
        }
    }

    /**
     * Excludes the workers at whose address another one has answered this owner, which was after
     * the previous owners used them.
     *
     * @param replacements tells which workers were replaced
     * @return whether one of them may have had a run
     */
    boolean excludeReplaced(ReplacementDetector replacements) {
        boolean usedReplaced = false;
        for (Map.Entry<String, RosterEntry> entry : List.copyOf(unfencedEntries.entrySet())) {
            String workerId = entry.getKey();
            String address = entry.getValue().address();
            WorkerRecord replacement =
                    address == null ? null : replacements.lastAnsweredAt(address);
            if (replacement != null && !replacement.id.equals(workerId)) {
                context.log.log(
                        "owner.replaced",
                        "cell",
                        context.cell,
                        "worker",
                        workerId,
                        "by",
                        replacement.id,
                        "open",
                        entry.getValue().open(),
                        "tasks",
                        entry.getValue().tasks().size(),
                        "age",
                        context.now() - context.term.startedAtMillis());
                exclude(workerId);
                usedReplaced |= entry.getValue().mayHaveRuns();
            }
        }
        return usedReplaced;
    }

    /**
     * Returns whether previous owners can no longer start anything, as of the last update.
     *
     * @return whether all workers that they had open are excluded
     */
    boolean areFenced() {
        return fenced;
    }

    /**
     * Returns whether a task of an earlier submission may still have a run on a closed worker.
     *
     * @param task the identifier of the task
     * @return whether it must not start yet
     */
    boolean holds(TaskId task) {
        return heldTasks.containsKey(task);
    }

    /**
     * Returns the tasks of earlier submissions that may still have a run on a closed worker.
     *
     * @return a live view of the identifiers of the tasks
     */
    Set<TaskId> heldTasks() {
        return Collections.unmodifiableSet(heldTasks.keySet());
    }

    /**
     * Lists the closed workers on which a task of an earlier submission may still have a run.
     *
     * @param task the identifier of the task
     * @return the identifiers of the workers
     */
    List<String> holdersOf(TaskId task) {
        return unfencedEntries.entrySet().stream()
                .filter(entry -> entry.getValue().tasks().contains(task))
                .map(Map.Entry::getKey)
                .toList();
    }

    /**
     * Excludes the workers and tasks of which all leases are over, and checks whether previous
     * owners can no longer start anything. Logs the outcome, and while they can, the workers that
     * have not answered.
     *
     * @return whether this has become so with this call
     */
    boolean update() {
        if (!loaded || (fenced && unfencedEntries.isEmpty())) {
            return false;
        }
        long now = context.now();
        long ageMillis = now - context.term.startedAtMillis();
        int unansweredCount = unfencedEntries.size();
        if (needsOwnershipCheck() && removeExpired()) {
            context.log.log(
                    "owner.expired",
                    "cell",
                    context.cell,
                    "workers",
                    unansweredCount - unfencedEntries.size(),
                    "awaited",
                    unfencedEntries.size(),
                    "held",
                    heldTasks.size(),
                    "millis",
                    ageMillis);
        }
        if (openCount > 0 && now >= logDueMillis) {
            logDueMillis = now + LOG_INTERVAL_MILLIS;
            logAwaitedWorkers(ageMillis);
        }
        if (openCount > 0 || fenced) {
            return false;
        }
        fenced = true;
        context.log.log(
                "owner.settled",
                "cell",
                context.cell,
                "byTime",
                unansweredCount > unfencedEntries.size(),
                "unanswered",
                unansweredCount,
                "held",
                heldTasks.size(),
                "millis",
                ageMillis);
        return true;
    }

    /**
     * Removes the entries of the workers on which all leases are over, and the confirmed tasks of
     * which they are.
     *
     * @return whether there were any
     */
    private boolean removeExpired() {
        boolean released = releaseConfirmed();
        boolean removed =
                unfencedEntries
                        .values()
                        .removeIf(
                                entry -> {
                                    boolean over = context.areLeasesOver(expireAtMillis(entry));
                                    if (over) {
                                        count(entry, -1);
                                    }
                                    return over;
                                });
        updateFirstExpiry();
        return removed || released;
    }

    /**
     * Releases the confirmed tasks that can have no active run any more.
     *
     * @return whether there were any
     */
    private boolean releaseConfirmed() {
        boolean released = false;
        for (Map.Entry<String, RosterEntry> item : unfencedEntries.entrySet()) {
            RosterEntry entry = item.getValue();
            if (!entry.confirmed().tasks().isEmpty()
                    && context.areLeasesOver(confirmedExpireAtMillis(entry))) {
                RosterEntry left = entry.withoutConfirmed();
                count(entry, -1);
                count(left, 1);
                item.setValue(left);
                released = true;
            }
        }
        return released;
    }

    /** Determines when the first of the entries expires. */
    private void updateFirstExpiry() {
        firstExpireAtMillis =
                unfencedEntries.values().stream()
                        .mapToLong(this::confirmedExpireAtMillis)
                        .min()
                        .orElse(Long.MAX_VALUE);
    }

    /**
     * Adds an entry to the open workers and the held tasks, or takes it out of them.
     *
     * @param entry the entry
     * @param difference 1 to add it, -1 to take it out
     */
    private void count(RosterEntry entry, int difference) {
        openCount += entry.open() ? difference : 0;
        for (TaskId task : entry.tasks()) {
            heldTasks.compute(
                    task,
                    (key, workers) -> {
                        int left = (workers == null ? 0 : workers) + difference;
                        return left == 0 ? null : left;
                    });
        }
    }

    /**
     * Logs the workers that have not answered, by name if they are not listed, since these may
     * never answer.
     *
     * @param ageMillis the time since the term began, in milliseconds
     */
    private void logAwaitedWorkers(long ageMillis) {
        List<String> unlistedIds =
                unfencedEntries.keySet().stream().filter(id -> !isListed(id)).toList();
        context.log.log(
                "owner.awaiting",
                "cell",
                context.cell,
                "generation",
                context.term.generation(),
                "workers",
                unfencedEntries.size(),
                "unlisted",
                unlistedIds.size(),
                "firstUnlisted",
                unlistedIds.subList(0, Math.min(MAX_LOGGED_WORKERS, unlistedIds.size())),
                "age",
                ageMillis,
                "remaining",
                unfencedEntries.values().stream().mapToLong(this::remainingMillis).max().orElse(0));
    }

    /**
     * Returns whether the store lists a worker.
     *
     * @param workerId the identifier of the worker
     * @return whether it has an entry
     */
    private boolean isListed(String workerId) {
        WorkerRecord worker = context.workers.get(workerId);
        return worker != null && worker.listed;
    }
}
