package org.damasktiller.scheduler.cell;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import org.damasktiller.scheduler.model.TaskId;
import org.damasktiller.scheduler.port.StoreItem;
import org.jspecify.annotations.Nullable;

/**
 * Decides which workers the stored roster of the cell names, and which of them may get starts. It
 * is written before the owner relies on it: a worker gets starts only while the stored roster has
 * it as open, and none from the moment a roster is written that has not. A successor therefore has
 * to wait only for the workers that are open, and for the named tasks of those that are closed.
 */
final class Roster {

    /** Stands for the workers of a roster that can't be read; no worker has this identifier. */
    private static final String UNKNOWN_WORKERS = "";

    /** The shared state of the cell's owner. */
    private final CellContext context;

    /**
     * The entries that were read or sent last, by the identifier of the worker; they may not be
     * stored yet.
     */
    private Map<String, RosterEntry> entries = new HashMap<>();

    /** The entries that were certainly stored last, by the identifier of the worker. */
    private Map<String, RosterEntry> storedEntries = entries;

    /** Whether the owner ends its term in order, so that it needs no worker any more. */
    private boolean handingOver;

    /**
     * Creates an empty roster.
     *
     * @param context the shared state of the cell's owner
     */
    Roster(CellContext context) {
        this.context = context;
    }

    /**
     * Takes over the roster that the previous owner has stored. One that can't be read may have
     * named any worker, which its successors have to know as well.
     *
     * @param item the stored roster, or null if there is none
     */
    void load(@Nullable StoreItem item) {
        RosterRecord stored =
                item == null ? null : StoredValueCodec.decode(item.value(), RosterRecord.class);
        if (stored != null) {
            entries = new HashMap<>(stored.entries());
        } else if (item != null) {
            entries.put(UNKNOWN_WORKERS, RosterEntry.OPEN);
            context.log.log(
                    "roster.unreadable",
                    "cell",
                    context.cell,
                    "revision",
                    item.revision(),
                    "bytes",
                    item.value().length);
        }
        storedEntries = entries;
        context.previousOwners.load(entries);
        context.keepHeldTasks();
    }

    /**
     * Returns whether the roster has to be written because of a worker.
     *
     * @param worker the worker
     * @return whether its entry differs from the one that was read or sent last
     */
    boolean isOutdated(WorkerRecord worker) {
        RosterEntry wanted = wantedEntry(worker);
        RosterEntry present = entries.get(worker.id);
        return wanted == null ? present != null : !wanted.equals(present);
    }

    /**
     * Returns whether the roster has to be written.
     *
     * @return whether the entry of any worker differs from the one that was read or sent last
     */
    boolean isOutdated() {
        return context.allWorkers().stream().anyMatch(this::isOutdated)
                || entries.keySet().stream().anyMatch(this::isObsolete)
                || context.previousOwners.unfencedWorkerIds().stream()
                        .anyMatch(this::isUnfencedEntryOutdated);
    }

    /**
     * Creates the record to store. From now on workers get no starts and leases that it does not
     * allow.
     *
     * @return the record
     */
    RosterRecord createRecord() {
        Map<String, RosterEntry> next = new HashMap<>();
        for (String workerId : context.previousOwners.unfencedWorkerIds()) {
            putIfPresent(next, workerId, context.previousOwners.unfencedEntry(workerId));
        }
        for (WorkerRecord worker : context.allWorkers()) {
            putIfPresent(next, worker.id, wantedEntry(worker));
        }
        entries = next;
        for (WorkerRecord worker : context.allWorkers()) {
            apply(worker);
        }
        return RosterRecord.of(next);
    }

    /** Closes all workers with the next record that is created. */
    void closeAll() {
        handingOver = true;
    }

    /** Records that the record created last is stored, so that the owner may rely on it. */
    void onStored() {
        storedEntries = entries;
        context.allWorkers().forEach(this::apply);
    }

    /** Records that the record created last is not stored and will not be sent again. */
    void onDiscarded() {
        entries = storedEntries;
        context.allWorkers().forEach(this::apply);
    }

    /**
     * Sets what the owner may do on a worker: what the stored roster allows, and the one that was
     * sent last, since that may be stored at any moment.
     *
     * @param worker the worker
     */
    void apply(WorkerRecord worker) {
        RosterEntry stored = storedEntries.get(worker.id);
        RosterEntry sent = entries.get(worker.id);
        worker.rosterAllowsStarts = allowsStarts(stored, worker) && allowsStarts(sent, worker);
        worker.rosterAllowsLeases =
                (stored == null || stored.allowsLeases()) && (sent == null || sent.allowsLeases());
    }

    /**
     * Returns whether an entry allows starts on a worker. It must have the address to which they
     * would be sent: a successor takes the worker for replaced if another one answers at the
     * address of the entry.
     *
     * @param entry the entry of the worker, or null if it has none
     * @param worker the worker
     * @return whether it may get starts
     */
    private static boolean allowsStarts(@Nullable RosterEntry entry, WorkerRecord worker) {
        return entry != null
                && entry.allowsStarts()
                && worker.addressText().equals(entry.address())
                && worker.addressText().equals(worker.answeredAddress);
    }

    /**
     * Adds the entry of a worker unless there is none.
     *
     * @param target the entries by the identifier of the worker
     * @param workerId the identifier of the worker
     * @param entry the entry, or null
     */
    private static void putIfPresent(
            Map<String, RosterEntry> target, String workerId, @Nullable RosterEntry entry) {
        if (entry != null) {
            target.put(workerId, entry);
        }
    }

    /**
     * Returns whether the remaining time of a worker that previous owners may still use has changed
     * since it was read or sent last.
     *
     * @param workerId the identifier of the worker
     * @return whether it has
     */
    private boolean isUnfencedEntryOutdated(String workerId) {
        RosterEntry entry = context.previousOwners.unfencedEntry(workerId);
        return entry != null && !entry.equals(entries.get(workerId));
    }

    /**
     * Returns whether an entry is left over from a worker that is gone.
     *
     * @param workerId the identifier of the worker
     * @return whether neither this owner nor a previous one may have a run there
     */
    private boolean isObsolete(String workerId) {
        return !context.workers.containsKey(workerId)
                && !context.previousOwners.unfencedWorkerIds().contains(workerId);
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
            return context.previousOwners.unfencedEntry(worker.id);
        }
        if (!worker.fenced && !context.previousOwners.areFenced()) {
            return entries.get(worker.id);
        }
        if (!handingOver && worker.isReachable(context.now()) && !worker.entry.draining()) {
            return RosterEntry.OPEN
                    .withAddress(worker.answeredAddress)
                    .withBoot(worker.bootUnixMillis);
        }
        return closedEntry(worker);
    }

    /**
     * Creates the entry of a worker that gets no starts. If the worker does not answer or the owner
     * ends its term, it gets no leases either, and the remaining time is that of the present ones,
     * or of starts without an answer for the tasks that have one. The address tells a successor
     * when the worker was replaced, and the boot when it restarted.
     *
     * @param worker the worker
     * @return the entry, or null if no task can have a run on the worker
     */
    private @Nullable RosterEntry closedEntry(WorkerRecord worker) {
        Set<TaskId> tasks = new HashSet<>();
        worker.runs.keySet().forEach(key -> tasks.add(key.task()));
        boolean endsStored = true;
        for (PendingEnd end : worker.pendingEnds) {
            if (!end.isStored()) {
                endsStored = false;
                tasks.add(end.task());
            }
        }
        if (tasks.isEmpty()) {
            return null;
        }
        RosterEntry entry =
                RosterEntry.closed(tasks)
                        .withAddress(worker.answeredAddress)
                        .withBoot(worker.bootUnixMillis);
        boolean leasesGoOn = worker.isAnswering(context.now()) && !handingOver;
        return leasesGoOn || !endsStored
                ? entry
                : entry.withRemainingMillis(worker.runsExpireAtMillis() - context.now())
                        .withConfirmed(
                                confirmedTasks(worker),
                                worker.leasesExpireAtMillis - context.now());
    }

    /**
     * Lists the tasks of a worker that are over with its present leases, if some are not. A start
     * that was sent to a former boot may extend the leases of all runs: it carries a time on the
     * clock of that boot, which lies ahead on the present one.
     *
     * @param worker the worker, of which all ends are stored
     * @return the tasks without a start that may still arrive; empty if there is no such start, or
     *     one to a former boot
     */
    private static Set<TaskId> confirmedTasks(WorkerRecord worker) {
        Set<TaskId> confirmed = new HashSet<>();
        Set<TaskId> uncertain = new HashSet<>();
        for (RunRecord run : worker.runs.values()) {
            if (run.mayArrive() && run.sentToFormerBoot) {
                return Set.of();
            }
            (run.mayArrive() ? uncertain : confirmed).add(run.taskId);
        }
        confirmed.removeAll(uncertain);
        return uncertain.isEmpty() ? Set.of() : confirmed;
    }
}
