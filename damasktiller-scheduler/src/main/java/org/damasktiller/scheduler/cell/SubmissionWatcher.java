package org.damasktiller.scheduler.cell;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.Set;
import org.damasktiller.scheduler.model.AcceptedSubmission;
import org.damasktiller.scheduler.model.SubmissionPart;
import org.damasktiller.scheduler.port.StoreEvent;
import org.damasktiller.scheduler.port.StoreItem;
import org.damasktiller.scheduler.port.StoreReading;
import org.damasktiller.scheduler.port.StoreResult;
import org.damasktiller.scheduler.port.StoreStatus;

/**
 * Watches the keys of the cell's open submissions. A new key is a new submission. A key that is
 * removed while the job is not finished means that the caller has cancelled the submission.
 */
final class SubmissionWatcher implements PrefixWatcher.Listener {

    /**
     * The delay between a change and the next watch call, in milliseconds, which groups changes.
     */
    private static final long GROUPING_MILLIS = 10;

    /** The delay before a failed read is tried again, in milliseconds. */
    private static final long RETRY_MILLIS = 100;

    /** The shared state of the cell's owner. */
    private final CellContext context;

    /** Called for new and cancelled submissions. */
    private final Listener listener;

    /** Decides which submissions are loaded. */
    private final SubmissionLoader loader;

    /** The prefix of the keys; the submission identifier follows it. */
    private final String prefix;

    /** Reads the keys and waits for changes. */
    private final PrefixWatcher watcher;

    /**
     * The highest revision of the last snapshot; changes up to it may be older than the snapshot.
     */
    private long snapshotRevision;

    /**
     * Creates a watcher that has not started.
     *
     * @param context the shared state of the cell's owner
     * @param progressRemover removes the progress of submissions that are over
     * @param listener called for new and cancelled submissions
     */
    SubmissionWatcher(CellContext context, ProgressRemover progressRemover, Listener listener) {
        this.context = context;
        this.loader = new SubmissionLoader(context, progressRemover, listener::onSubmission);
        this.listener = listener;
        this.prefix = CellKeys.openSubmissionsPrefix(context.cell);
        this.watcher =
                new PrefixWatcher(
                        prefix, GROUPING_MILLIS, context.store, context.runtime, context.log, this);
    }

    /** Starts to read the keys. */
    void start() {
        watcher.start();
    }

    /** Loads the next submission that was left in the store, if there is memory for it. */
    void loadNext() {
        loader.update();
    }

    /** Stops watching; the listener is not called for later changes. */
    void close() {
        watcher.close();
    }

    @Override
    public void onSnapshot(Snapshot snapshot) {
        context.loopUsage.run("submissions", () -> applySnapshot(snapshot));
        listener.onSnapshot();
    }

    /**
     * Reads the entries of open submissions again that a listing lacks. What it has was admitted
     * page by page.
     *
     * @param snapshot the listing
     */
    private void applySnapshot(Snapshot snapshot) {
        snapshotRevision = snapshot.highestRevision();
        Set<String> present = new HashSet<>();
        snapshot.forEach(item -> present.add(idOf(item.key())));
        for (Job job : new ArrayList<>(context.jobs.values())) {
            boolean older = job.createdRevision <= snapshotRevision;
            if (older && !present.contains(job.id()) && !job.state.isFinal()) {
                reread(prefix + job.id());
            }
        }
        for (UnloadedSubmission submission : context.unloaded.all()) {
            if (submission.revision() <= snapshotRevision && !present.contains(submission.id())) {
                reread(prefix + submission.id());
            }
        }
    }

    @Override
    public StoreItem onListed(StoreItem item) {
        admit(item);
        return item.withoutValue();
    }

    @Override
    public void onChange(StoreEvent event) {
        StoreItem item = event.item();
        String id = idOf(event.key());
        Job job = context.jobs.get(id);
        if (item == null) {
            if (job != null && event.revision() > job.createdRevision) {
                onRemoved(job);
            } else if (job == null && isRemovalOfUnloaded(id, event.revision())) {
                loader.onRemoved(id);
            }
        } else if (job == null && event.revision() <= snapshotRevision) {
            reread(event.key());
        } else {
            admit(item);
        }
    }

    /**
     * Reads a single key whose state is in doubt: a snapshot lacks the key of an open job, or the
     * watch reports a change that may be older than the snapshot.
     *
     * @param key the key
     */
    private void reread(String key) {
        context.store.read(key, result -> onReread(key, result));
    }

    /**
     * Handles the reading of a key whose state was in doubt.
     *
     * @param key the key
     * @param result the reading
     */
    private void onReread(String key, StoreResult<StoreReading> result) {
        if (context.ended) {
            return;
        }
        if (result.status() != StoreStatus.OK && result.status() != StoreStatus.ABSENT) {
            context.schedule(RETRY_MILLIS, () -> reread(key));
            return;
        }
        StoreItem item = result.status() == StoreStatus.OK ? result.require().item() : null;
        Job job = context.jobs.get(idOf(key));
        if (item != null) {
            admit(item);
        } else if (job != null) {
            onRemoved(job);
        } else {
            loader.onRemoved(idOf(key));
        }
    }

    /**
     * Returns whether a removed key was that of a submission that is not loaded.
     *
     * @param id the identifier of the submission
     * @param revision the revision of the removal
     * @return whether the submission was stored before that
     */
    private boolean isRemovalOfUnloaded(String id, long revision) {
        UnloadedSubmission submission = context.unloaded.find(id);
        return submission != null && revision > submission.revision();
    }

    /**
     * Reports that the caller has cancelled a submission whose key is removed. The key of one that
     * is about to move may be removed by the move, whose outcome decides then.
     *
     * @param job the open job of the submission
     */
    private void onRemoved(Job job) {
        if (job.departing) {
            job.removedWhileDeparting = true;
        } else if (!job.state.isFinal()) {
            listener.onCancelled(job);
        }
    }

    /**
     * Reports a submission unless it is already open or closed or is left in the store, or takes
     * over which tasks of an open one have their home here. A record that can't be decoded is
     * logged and skipped.
     *
     * @param item the stored submission
     */
    private void admit(StoreItem item) {
        String id = idOf(item.key());
        Job open = context.jobs.get(id);
        boolean changed = open != null && item.revision() > open.openRevision;
        boolean known = context.isKnown(id) || context.departed.isOutdated(id, item.revision());
        UnloadedSubmission unloaded = context.unloaded.find(id);
        boolean left = unloaded != null && item.revision() <= unloaded.revision();
        if ((known && !changed) || left) {
            return;
        }
        AcceptedSubmission accepted =
                StoredValueCodec.decode(item.value(), AcceptedSubmission.class);
        if (accepted == null) {
            context.log.log("inbox.unreadable", "key", item.key(), "revision", item.revision());
            return;
        }
        if (open != null) {
            updatePart(open, accepted, item.revision());
            return;
        }
        context.unloaded.remove(id);
        if (loader.leaveInStore(accepted, item)) {
            return;
        }
        Job job = SubmissionLoader.createJob(context, accepted, item);
        logPart(job);
        listener.onSubmission(job);
    }

    /**
     * Takes over a change of the tasks that have their home in the cell.
     *
     * @param job the open job
     * @param accepted the new entry of the submission
     * @param revision the revision of the entry
     */
    private void updatePart(Job job, AcceptedSubmission accepted, long revision) {
        SubmissionPart part = accepted.part();
        if (part != null && !job.state.isFinal()) {
            job.applyPart(part, revision);
            logPart(job);
            listener.onPartChanged();
        }
    }

    /**
     * Logs which tasks of a submission have their home in this cell, if any have moved.
     *
     * @param job the job
     */
    private void logPart(Job job) {
        SubmissionPart part = job.part;
        if (part != null) {
            context.log.log(
                    "part.admitted",
                    "id",
                    job.id(),
                    "cell",
                    context.cell,
                    "first",
                    part.first(),
                    "arrived",
                    part.arrived().size(),
                    "departed",
                    part.departed().size(),
                    "revision",
                    job.openRevision);
        }
    }

    /**
     * Extracts the submission identifier from a key.
     *
     * @param key the key
     * @return the identifier of the submission
     */
    private String idOf(String key) {
        return key.substring(prefix.length());
    }

    /** Called for new and cancelled submissions. */
    interface Listener {

        /** Called after all keys have been read, on start and after changes were missed. */
        void onSnapshot();

        /**
         * Called for each submission that is not yet open.
         *
         * @param job a new job for the submission
         */
        void onSubmission(Job job);

        /** Called when the tasks of an open submission that have their home here have changed. */
        void onPartChanged();

        /**
         * Called when the caller has cancelled a submission.
         *
         * @param job the open job of the submission
         */
        void onCancelled(Job job);
    }
}
