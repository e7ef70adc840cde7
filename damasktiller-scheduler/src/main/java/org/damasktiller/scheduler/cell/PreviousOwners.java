package org.damasktiller.scheduler.cell;

import java.util.List;
import java.util.Set;
import java.util.TreeSet;

/**
 * Tracks which workers may still run or accept tasks for the owners of earlier terms, and decides
 * when these owners can no longer start anything. That is so once each worker of the stored roster
 * has answered with this owner's fencing token or all leases of previous owners have expired.
 */
final class PreviousOwners {

    /** The time between two log lines on the workers that the owner waits for, in milliseconds. */
    private static final long LOG_INTERVAL_MILLIS = 1_000;

    /** The most workers that such a log line names. */
    private static final int MAX_LOGGED_WORKERS = 12;

    /** The shared state of the cell's owner. */
    private final CellContext context;

    /**
     * The workers of the stored roster that have neither answered a poll with this owner's fencing
     * token nor been removed.
     */
    private final Set<String> unfencedWorkerIds = new TreeSet<>();

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
     * @param workerIds the identifiers of the workers
     */
    void load(List<String> workerIds) {
        unfencedWorkerIds.addAll(workerIds);
        loaded = true;
    }

    /**
     * Returns the workers that previous owners may still use.
     *
     * @return a live view of the identifiers
     */
    Set<String> unfencedWorkerIds() {
        return unfencedWorkerIds;
    }

    /**
     * Records that a worker has answered with this owner's fencing token, or is gone.
     *
     * @param workerId the identifier of the worker
     */
    void exclude(String workerId) {
        unfencedWorkerIds.remove(workerId);
    }

    /**
     * Returns whether previous owners can no longer start anything, as of the last update.
     *
     * @return whether all their workers have answered this owner or all their leases have expired
     */
    boolean areFenced() {
        return fenced;
    }

    /**
     * Checks whether previous owners can no longer start anything. Logs the outcome, and while they
     * can, the workers that have not answered.
     *
     * @return whether this has become so with this call
     */
    boolean update() {
        if (fenced || !loaded) {
            return false;
        }
        long now = context.now();
        long startedAtMillis = context.term.startedAtMillis();
        long remainingMillis = context.leases.previousLeasesExpireAtMillis(startedAtMillis) - now;
        if (remainingMillis > 0 && !unfencedWorkerIds.isEmpty()) {
            if (now >= logDueMillis) {
                logDueMillis = now + LOG_INTERVAL_MILLIS;
                logAwaitedWorkers(now - startedAtMillis, remainingMillis);
            }
            return false;
        }
        fenced = true;
        context.log.log(
                "owner.settled",
                "cell",
                context.cell,
                "byTime",
                !unfencedWorkerIds.isEmpty(),
                "unanswered",
                unfencedWorkerIds.size(),
                "millis",
                now - startedAtMillis);
        unfencedWorkerIds.clear();
        return true;
    }

    /**
     * Logs the workers that have not answered, by name if they are not listed, since these may
     * never answer.
     *
     * @param ageMillis the time since the term began, in milliseconds
     * @param remainingMillis how long the owner waits for them at most, in milliseconds
     */
    private void logAwaitedWorkers(long ageMillis, long remainingMillis) {
        List<String> unlistedIds = unfencedWorkerIds.stream().filter(id -> !isListed(id)).toList();
        context.log.log(
                "owner.awaiting",
                "cell",
                context.cell,
                "generation",
                context.term.generation(),
                "workers",
                unfencedWorkerIds.size(),
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
