package org.damasktiller.scheduler.cell;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.damasktiller.scheduler.model.AcceptedSubmission;
import org.damasktiller.scheduler.port.StoreEvent;
import org.damasktiller.scheduler.port.StoreItem;
import org.damasktiller.scheduler.port.StoreReading;
import org.damasktiller.scheduler.port.StoreResult;
import org.damasktiller.scheduler.port.StoreStatus;

/**
 * Follows the open submissions of the cell. A key that appears is a new submission; one that
 * disappears, though this owner has not closed it, was cancelled.
 */
final class Inbox implements PrefixWatch.Listener {

    /** The pause between a change and the next call of the watch, in milliseconds. */
    private static final long GROUPING_MILLIS = 10;

    /** The pause before a read that failed is tried again, in milliseconds. */
    private static final long RETRY_MILLIS = 100;

    /** The shared part. */
    private final CellCore core;

    /** Takes what has changed. */
    private final Listener listener;

    /** The prefix of the keys. */
    private final String prefix;

    /** The watch. */
    private final PrefixWatch watch;

    /** Up to which revision a change may be reported that a page has shown already. */
    private long snapshotRevision;

    /**
     * Creates an inbox that is not read yet.
     *
     * @param core the shared part
     * @param listener takes what has changed
     */
    Inbox(CellCore core, Listener listener) {
        this.core = core;
        this.listener = listener;
        this.prefix = CellKeys.inbox(core.cell);
        this.watch =
                new PrefixWatch(prefix, GROUPING_MILLIS, core.store, core.runtime, core.log, this);
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
        snapshotRevision = highestRevision;
        Set<String> present = new HashSet<>();
        for (StoreItem item : items) {
            present.add(idOf(item.key()));
            admit(item);
        }
        for (Job job : new ArrayList<>(core.jobs.values())) {
            boolean older = job.createdRevision <= highestRevision;
            if (older && !present.contains(job.id()) && !job.state.isFinal()) {
                verify(prefix + job.id());
            }
        }
        listener.onSnapshot();
    }

    @Override
    public void onChange(StoreEvent event) {
        StoreItem item = event.item();
        String id = idOf(event.key());
        Job job = core.jobs.get(id);
        if (item == null) {
            if (job != null && !job.state.isFinal() && event.revision() > job.createdRevision) {
                listener.onRemoved(job);
            }
        } else if (job == null && event.revision() <= snapshotRevision) {
            verify(event.key());
        } else if (job == null) {
            admit(item);
        }
    }

    /**
     * Reads a key again: one that a page lacks, or one of which a change is reported that may be
     * older than the pages read.
     *
     * @param key the key
     */
    private void verify(String key) {
        core.store.read(key, result -> onVerified(key, result));
    }

    /**
     * Takes a key that was read again.
     *
     * @param key the key
     * @param result the reading
     */
    private void onVerified(String key, StoreResult<StoreReading> result) {
        if (core.over) {
            return;
        }
        if (result.status() != StoreStatus.OK && result.status() != StoreStatus.ABSENT) {
            core.schedule(RETRY_MILLIS, () -> verify(key));
            return;
        }
        StoreItem item = result.status() == StoreStatus.OK ? result.require().item() : null;
        Job job = core.jobs.get(idOf(key));
        if (item != null) {
            admit(item);
        } else if (job != null && !job.state.isFinal()) {
            listener.onRemoved(job);
        }
    }

    /**
     * Takes in a submission unless it is known.
     *
     * @param item its stored record
     */
    private void admit(StoreItem item) {
        String id = idOf(item.key());
        if (core.known(id)) {
            return;
        }
        AcceptedSubmission accepted = StoredValues.read(item.value(), AcceptedSubmission.class);
        if (accepted == null) {
            core.log.log("inbox.unreadable", "key", item.key(), "revision", item.revision());
            return;
        }
        listener.onSubmission(new Job(accepted, item.revision(), core.now()));
    }

    /**
     * Returns the submission of a key.
     *
     * @param key the key
     * @return the identifier
     */
    private String idOf(String key) {
        return key.substring(prefix.length());
    }

    /** Takes what has changed in the inbox. */
    interface Listener {

        /** Tells that all keys have been read. */
        void onSnapshot();

        /**
         * Takes a new submission.
         *
         * @param job the submission
         */
        void onSubmission(Job job);

        /**
         * Tells that the caller has cancelled a submission.
         *
         * @param job the submission
         */
        void onRemoved(Job job);
    }
}
