package org.damasktiller.scheduler.cell;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.Set;
import java.util.function.Predicate;
import org.damasktiller.scheduler.model.WorkerEntry;
import org.damasktiller.scheduler.port.DecodedWorker;
import org.damasktiller.scheduler.port.PlatformRecordDecoder;
import org.damasktiller.scheduler.port.StoreEvent;
import org.damasktiller.scheduler.port.StoreItem;
import org.jspecify.annotations.Nullable;

/**
 * Watches the registry entries of the cell's workers and keeps their records up to date. A worker
 * whose entry is missing is marked as unlisted, but its runs are kept, since they may still be
 * active.
 */
final class WorkerEntryWatcher implements PrefixWatcher.Listener {

    /**
     * The delay between a change and the next watch call, in milliseconds, which groups changes.
     */
    private static final long GROUPING_MILLIS = 60;

    /** The shared state of the cell's owner. */
    private final CellContext context;

    /** Decodes the platform's worker entries. */
    private final PlatformRecordDecoder formats;

    /** Decides which workers belong to the cell. */
    private final Predicate<WorkerEntry> belongsToCell;

    /** Called for new and changed workers. */
    private final Listener listener;

    /** Reads the entries and waits for changes. */
    private final PrefixWatcher watcher;

    /**
     * Creates a watcher that has not started.
     *
     * @param context the shared state of the cell's owner
     * @param formats decodes the platform's worker entries
     * @param belongsToCell decides which workers belong to the cell
     * @param listener called for new and changed workers
     */
    WorkerEntryWatcher(
            CellContext context,
            PlatformRecordDecoder formats,
            Predicate<WorkerEntry> belongsToCell,
            Listener listener) {
        this.context = context;
        this.formats = formats;
        this.belongsToCell = belongsToCell;
        this.listener = listener;
        this.watcher =
                new PrefixWatcher(
                        formats.workerKeyPrefix(),
                        GROUPING_MILLIS,
                        context.store,
                        context.runtime,
                        context.log,
                        this);
    }

    /** Starts to read the entries. */
    void start() {
        watcher.start();
    }

    /**
     * Returns when the store last answered.
     *
     * @return the time of the last answer, or of the creation of this watcher, in milliseconds
     */
    long answeredAtMillis() {
        return watcher.answeredAtMillis();
    }

    /** Stops watching; later changes are ignored. */
    void close() {
        watcher.close();
    }

    @Override
    public void onSnapshot(Snapshot snapshot) {
        Set<String> present = new HashSet<>();
        snapshot.forEach(
                item -> {
                    WorkerEntry entry = decode(item);
                    if (entry != null) {
                        present.add(entry.id());
                        addOrUpdate(entry);
                    }
                });
        for (WorkerRecord worker : new ArrayList<>(context.allWorkers())) {
            if (!present.contains(worker.id)) {
                markUnlisted(worker);
            }
        }
        listener.onSnapshot();
    }

    @Override
    public void onChange(StoreEvent event) {
        StoreItem item = event.item();
        WorkerRecord worker = context.workers.get(idOf(event.key()));
        WorkerEntry entry = item == null ? null : decode(item);
        if (entry != null) {
            addOrUpdate(entry);
        } else if (worker != null) {
            markUnlisted(worker);
        }
    }

    /**
     * Decodes an entry and logs one that is not usable.
     *
     * @param item the stored entry
     * @return the entry, or null if it is not usable or the worker belongs to another cell
     */
    private @Nullable WorkerEntry decode(StoreItem item) {
        DecodedWorker decoded = formats.decodeWorker(idOf(item.key()), item.value());
        WorkerEntry entry = decoded.entry();
        if (entry == null) {
            context.log.log(
                    "worker.unreadable",
                    "key",
                    item.key(),
                    "revision",
                    item.revision(),
                    "field",
                    decoded.field(),
                    "reason",
                    decoded.reason());
            return null;
        }
        return belongsToCell.test(entry) ? entry : null;
    }

    /**
     * Creates the record of a new worker, or updates that of a known one.
     *
     * @param entry the entry of the worker
     */
    private void addOrUpdate(WorkerEntry entry) {
        WorkerRecord worker = context.workers.get(entry.id());
        if (worker == null) {
            worker =
                    new WorkerRecord(
                            entry,
                            context.leases.previousLeasesExpireAtMillis(
                                    context.term.startedAtMillis()));
            worker.updateEntry(entry, context.now());
            context.workers.put(entry.id(), worker);
            context.log.log(
                    "worker.listed",
                    "worker",
                    entry.id(),
                    "address",
                    entry.address(),
                    "zone",
                    entry.zone(),
                    "capacity",
                    entry.capacity(),
                    "draining",
                    entry.draining(),
                    "coldMillis",
                    entry.coldRemainingMillis());
            listener.onAdded(worker);
            return;
        }
        WorkerEntry previousEntry = worker.entry;
        worker.updateEntry(entry, context.now());
        worker.listed = true;
        if (!previousEntry.draining() && entry.draining()) {
            context.log.log(
                    "worker.draining", "worker", entry.id(), "remaining", entry.remainingMillis());
        }
        if (!previousEntry.capacity().equals(entry.capacity())) {
            context.log.log(
                    "worker.resized",
                    "worker",
                    entry.id(),
                    "capacity",
                    entry.capacity(),
                    "before",
                    previousEntry.capacity(),
                    "reserved",
                    worker.reserved);
        }
        listener.onUpdated(worker, previousEntry);
    }

    /**
     * Marks a worker as unlisted, since it has no entry in this cell any more.
     *
     * @param worker the worker
     */
    private void markUnlisted(WorkerRecord worker) {
        if (worker.listed) {
            worker.listed = false;
            worker.unlistedSinceMillis = context.now();
            context.log.log(
                    "worker.unlisted",
                    "worker",
                    worker.id,
                    "runs",
                    worker.runs.size(),
                    "answeredAgo",
                    worker.answeredAtMillis < 0 ? -1L : context.now() - worker.answeredAtMillis);
        }
    }

    /**
     * Extracts the worker identifier from a key.
     *
     * @param key the key
     * @return the identifier of the worker
     */
    private String idOf(String key) {
        return key.substring(formats.workerKeyPrefix().length());
    }

    /** Called for new and changed workers. */
    interface Listener {

        /** Called after all entries have been read, on start and after changes were missed. */
        void onSnapshot();

        /**
         * Called after a record was created for a new worker.
         *
         * @param worker the worker
         */
        void onAdded(WorkerRecord worker);

        /**
         * Called after the entry of a known worker was read again or changed.
         *
         * @param worker the worker, with the new entry
         * @param previousEntry the previous entry
         */
        void onUpdated(WorkerRecord worker, WorkerEntry previousEntry);
    }
}
