package org.damasktiller.scheduler.cell;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.function.Predicate;
import org.damasktiller.scheduler.model.WorkerEntry;
import org.damasktiller.scheduler.port.PlatformRecordDecoder;
import org.damasktiller.scheduler.port.StoreEvent;
import org.damasktiller.scheduler.port.StoreItem;
import org.jspecify.annotations.Nullable;

/**
 * Follows the entries of the cell's workers. An entry that is gone ends the use of the worker, but
 * proves nothing about what it runs.
 */
final class WorkerList implements PrefixWatch.Listener {

    /** The pause between a change and the next call of the watch, in milliseconds. */
    private static final long GROUPING_MILLIS = 60;

    /** The shared part. */
    private final CellCore core;

    /** The platform's records. */
    private final PlatformRecordDecoder formats;

    /** Tells which workers belong to the cell. */
    private final Predicate<WorkerEntry> member;

    /** Takes what has changed. */
    private final Listener listener;

    /** The watch. */
    private final PrefixWatch watch;

    /**
     * Creates a list that is not read yet.
     *
     * @param core the shared part
     * @param formats the platform's records
     * @param member tells which workers belong to the cell
     * @param listener takes what has changed
     */
    WorkerList(
            CellCore core,
            PlatformRecordDecoder formats,
            Predicate<WorkerEntry> member,
            Listener listener) {
        this.core = core;
        this.formats = formats;
        this.member = member;
        this.listener = listener;
        this.watch =
                new PrefixWatch(
                        formats.workerKeyPrefix(),
                        GROUPING_MILLIS,
                        core.store,
                        core.runtime,
                        core.log,
                        this);
    }

    /** Begins to read. */
    void start() {
        watch.start();
    }

    /** Ends the watch. */
    void close() {
        watch.close();
    }

    @Override
    public void onSnapshot(List<StoreItem> items, long highestRevision) {
        Set<String> present = new HashSet<>();
        for (StoreItem item : items) {
            WorkerEntry entry = decode(item);
            if (entry != null) {
                present.add(entry.id());
                update(entry);
            }
        }
        for (WorkerRecord worker : new ArrayList<>(core.allWorkers())) {
            if (!present.contains(worker.id)) {
                remove(worker);
            }
        }
        listener.onSnapshot();
    }

    @Override
    public void onChange(StoreEvent event) {
        StoreItem item = event.item();
        WorkerRecord worker = core.workers.get(idOf(event.key()));
        WorkerEntry entry = item == null ? null : decode(item);
        if (entry != null) {
            update(entry);
        } else if (worker != null) {
            remove(worker);
        }
    }

    /**
     * Reads an entry; one that can't be used is skipped with a line.
     *
     * @param item the stored entry
     * @return the entry, or null if it is no usable entry of a member
     */
    private @Nullable WorkerEntry decode(StoreItem item) {
        WorkerEntry entry = formats.decodeWorker(idOf(item.key()), item.value());
        if (entry == null) {
            core.log.log("worker.unreadable", "key", item.key(), "revision", item.revision());
            return null;
        }
        return member.test(entry) ? entry : null;
    }

    /**
     * Takes an entry.
     *
     * @param entry the entry
     */
    private void update(WorkerEntry entry) {
        WorkerRecord worker = core.workers.get(entry.id());
        if (worker == null) {
            worker = new WorkerRecord(entry, core.leases.formerLeasesOver(core.term.beganMillis()));
            core.workers.put(entry.id(), worker);
            core.log.log(
                    "worker.listed",
                    "worker",
                    entry.id(),
                    "zone",
                    entry.zone(),
                    "capacity",
                    entry.capacity(),
                    "draining",
                    entry.draining());
            listener.onNew(worker);
            return;
        }
        WorkerEntry before = worker.entry;
        worker.entry = entry;
        worker.listed = true;
        if (!before.draining() && entry.draining()) {
            core.log.log(
                    "worker.draining", "worker", entry.id(), "remaining", entry.remainingMillis());
        }
        listener.onUpdate(worker, before);
    }

    /**
     * Notes that a worker has no entry.
     *
     * @param worker the worker
     */
    private void remove(WorkerRecord worker) {
        if (worker.listed) {
            worker.listed = false;
            worker.unlistedSinceMillis = core.now();
            core.log.log(
                    "worker.unlisted",
                    "worker",
                    worker.id,
                    "runs",
                    worker.runs.size(),
                    "answeredAgo",
                    core.now() - worker.answeredAtMillis);
        }
    }

    /**
     * Returns the worker of a key.
     *
     * @param key the key
     * @return the identifier
     */
    private String idOf(String key) {
        return key.substring(formats.workerKeyPrefix().length());
    }

    /** Takes what has changed in the list. */
    interface Listener {

        /** Tells that all entries have been read. */
        void onSnapshot();

        /**
         * Takes a worker that was not known.
         *
         * @param worker the worker
         */
        void onNew(WorkerRecord worker);

        /**
         * Tells that an entry has changed.
         *
         * @param worker the worker, with the new entry
         * @param before the entry before
         */
        void onUpdate(WorkerRecord worker, WorkerEntry before);
    }
}
