package org.damasktiller.scheduler.cell;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.damasktiller.scheduler.model.TaskId;
import org.jspecify.annotations.Nullable;

/**
 * Decides which workers the stored roster of the cell names, and which of them may get starts. It
 * is written before the owner relies on it: a worker gets starts only while the stored roster has
 * it as open, and none from the moment a roster is written that has not. A successor therefore has
 * to wait only for the workers that are open, and for the named tasks of those that are closed.
 */
final class Roster {

    /** The shared state of the cell's owner. */
    private final CellContext context;

    /** The entries that were read or written last, by the identifier of the worker. */
    private Map<String, RosterEntry> entries = new HashMap<>();

    /**
     * Creates an empty roster.
     *
     * @param context the shared state of the cell's owner
     */
    Roster(CellContext context) {
        this.context = context;
    }

    /**
     * Takes over the roster that the previous owner has stored.
     *
     * @param stored the entries by the identifier of the worker
     */
    void load(Map<String, RosterEntry> stored) {
        entries = new HashMap<>(stored);
    }

    /**
     * Returns whether the roster that was read or written last has a worker as open.
     *
     * @param workerId the identifier of the worker
     * @return whether it has
     */
    boolean isOpen(String workerId) {
        return RosterEntry.OPEN.equals(entries.get(workerId));
    }

    /**
     * Returns whether the roster has to be written because of a worker.
     *
     * @param worker the worker
     * @return whether its entry differs from the one that was read or written last
     */
    boolean isOutdated(WorkerRecord worker) {
        RosterEntry wanted = wantedEntry(worker);
        RosterEntry present = entries.get(worker.id);
        return wanted == null ? present != null : !wanted.equals(present);
    }

    /**
     * Returns whether the roster has to be written.
     *
     * @return whether the entry of any worker differs from the one that was read or written last
     */
    boolean isOutdated() {
        return context.allWorkers().stream().anyMatch(this::isOutdated)
                || entries.keySet().stream().anyMatch(this::isObsolete);
    }

    /**
     * Creates the record to store. From now on the workers that it does not have as open get no
     * starts.
     *
     * @return the record
     */
    RosterRecord createRecord() {
        Map<String, RosterEntry> next = new HashMap<>(context.previousOwners.unfencedEntries());
        for (WorkerRecord worker : context.allWorkers()) {
            RosterEntry entry = wantedEntry(worker);
            if (entry != null) {
                next.put(worker.id, entry);
            }
            if (!RosterEntry.OPEN.equals(entry)) {
                worker.openInRoster = false;
            }
        }
        entries = next;
        return RosterRecord.of(next);
    }

    /**
     * Returns the workers that the record created last has as open.
     *
     * @return the workers
     */
    List<WorkerRecord> openWorkers() {
        List<WorkerRecord> workers = new ArrayList<>();
        for (WorkerRecord worker : context.allWorkers()) {
            if (isOpen(worker.id)) {
                workers.add(worker);
            }
        }
        return workers;
    }

    /**
     * Returns whether an entry names a worker that is gone.
     *
     * @param workerId the identifier of the worker
     * @return whether neither this owner nor a previous one may have a run there
     */
    private boolean isObsolete(String workerId) {
        return !context.workers.containsKey(workerId)
                && !context.previousOwners.unfencedEntries().containsKey(workerId);
    }

    /**
     * Determines the entry that a worker should have. A worker that has not answered this owner
     * keeps the entry of the previous owner. One that restarted and has not answered since keeps
     * its entry while previous owners may still start something there.
     *
     * @param worker the worker
     * @return the entry, or null if no task can have a run on the worker and none should start
     */
    private @Nullable RosterEntry wantedEntry(WorkerRecord worker) {
        if (worker.answeredAtMillis < 0) {
            return context.previousOwners.unfencedEntries().get(worker.id);
        }
        if (!worker.fenced && !context.previousOwners.areFenced()) {
            return entries.get(worker.id);
        }
        if (worker.isReachable(context.now()) && !worker.entry.draining()) {
            return RosterEntry.OPEN;
        }
        Set<TaskId> tasks = new HashSet<>();
        worker.runs.keySet().forEach(key -> tasks.add(key.task()));
        for (PendingEnd end : worker.pendingEnds) {
            if (!end.isStored()) {
                tasks.add(end.task());
            }
        }
        return tasks.isEmpty() ? null : RosterEntry.closed(tasks);
    }
}
