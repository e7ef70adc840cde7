package org.damasktiller.scheduler.cell;

import java.util.Collections;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import org.damasktiller.scheduler.model.TaskId;

/**
 * Tracks what the owners of earlier terms may still run or start, from the roster that they have
 * stored. A worker of the roster is excluded once it has answered with this owner's fencing token
 * or all leases of previous owners have expired. Until then a worker that is open in the roster may
 * run or accept any task of theirs, and a closed one may run the tasks that its entry names.
 */
final class PreviousOwners {

    /** The time between two log lines on the workers that the owner waits for, in milliseconds. */
    private static final long LOG_INTERVAL_MILLIS = 1_000;

    /** The most workers that such a log line names. */
    private static final int MAX_LOGGED_WORKERS = 12;

    /** The shared state of the cell's owner. */
    private final CellContext context;

    /** The entries of the stored roster whose workers are not excluded, by worker identifier. */
    private final Map<String, RosterEntry> unfencedEntries = new TreeMap<>();

    /** The tasks of the closed workers among them. */
    private final Set<TaskId> heldTasks = new HashSet<>();

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
        updateHeldTasks();
    }

    /**
     * Returns the workers that previous owners may still use.
     *
     * @return a live view of their entries by the identifier of the worker
     */
    Map<String, RosterEntry> unfencedEntries() {
        return Collections.unmodifiableMap(unfencedEntries);
    }

    /**
     * Records that a worker has answered with this owner's fencing token, or is gone.
     *
     * @param workerId the identifier of the worker
     */
    void exclude(String workerId) {
        if (unfencedEntries.remove(workerId) != null) {
            updateHeldTasks();
        }
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
        return heldTasks.contains(task);
    }

    /**
     * Checks whether previous owners can no longer start anything. Logs the outcome, and while they
     * can, the workers that have not answered.
     *
     * @return whether this has become so with this call
     */
    boolean update() {
        if (!loaded || (fenced && unfencedEntries.isEmpty())) {
            return false;
        }
        long now = context.now();
        long startedAtMillis = context.term.startedAtMillis();
        long remainingMillis = context.leases.previousLeasesExpireAtMillis(startedAtMillis) - now;
        int unansweredCount = unfencedEntries.size();
        if (remainingMillis <= 0) {
            unfencedEntries.clear();
            updateHeldTasks();
        }
        long openCount = unfencedEntries.values().stream().filter(RosterEntry::open).count();
        if (openCount > 0 && now >= logDueMillis) {
            logDueMillis = now + LOG_INTERVAL_MILLIS;
            logAwaitedWorkers(now - startedAtMillis, remainingMillis);
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
                remainingMillis <= 0 && unansweredCount > 0,
                "unanswered",
                unansweredCount,
                "held",
                heldTasks.size(),
                "millis",
                now - startedAtMillis);
        return true;
    }

    /** Collects the tasks of the closed workers. */
    private void updateHeldTasks() {
        heldTasks.clear();
        unfencedEntries.values().forEach(entry -> heldTasks.addAll(entry.tasks()));
    }

    /**
     * Logs the workers that have not answered, by name if they are not listed, since these may
     * never answer.
     *
     * @param ageMillis the time since the term began, in milliseconds
     * @param remainingMillis how long the owner waits for them at most, in milliseconds
     */
    private void logAwaitedWorkers(long ageMillis, long remainingMillis) {
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
                remainingMillis);
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
