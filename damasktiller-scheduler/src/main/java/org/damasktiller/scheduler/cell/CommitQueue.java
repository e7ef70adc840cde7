package org.damasktiller.scheduler.cell;

import java.util.ArrayList;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import org.damasktiller.scheduler.model.SubmissionRecord;
import org.damasktiller.scheduler.port.CommitReply;
import org.damasktiller.scheduler.port.StoreItem;
import org.damasktiller.scheduler.port.StoreReading;
import org.damasktiller.scheduler.port.StoreResult;
import org.damasktiller.scheduler.port.StoreStatus;
import org.damasktiller.scheduler.port.StoreTransaction;
import org.jspecify.annotations.Nullable;

/**
 * Queues the changes of jobs and commits them to the store in batches, one batch at a time. Each
 * batch replaces the head key on condition of its revision, so that a batch fails if it arrives
 * late or was sent by a previous owner.
 */
final class CommitQueue {

    /**
     * The most rows of a transaction, given by the platform's documentation; each condition, write
     * and removal is a row.
     */
    private static final int MOST_ROWS = 32;

    /** The rows for the head, its condition and the roster, which are reserved in each batch. */
    private static final int FIXED_ROWS = 3;

    /** The most rows of a finished job: its record, the condition on it, and two removals. */
    private static final int FINAL_ROWS = 4;

    /** The delay after a call that was refused or got no answer, in milliseconds. */
    private static final long RETRY_MILLIS = 60;

    /** The shared state of the cell's owner. */
    private final CellContext context;

    /** Called when a change is stored or a job turns out to be cancelled. */
    private final Listener listener;

    /** The jobs whose changes are not in a batch yet, in the order of their first change. */
    private final Set<Job> changed = new LinkedHashSet<>();

    /** The revision of the head key after the last batch that was stored. */
    private long headRevision;

    /** The number of the last batch of the term, 0 before the first. */
    private long sequence;

    /** The batch whose outcome is not known yet, or null. */
    private @Nullable Group group;

    /** Whether the next batch is scheduled. */
    private boolean planned;

    /** When the last batch was sent, in milliseconds. */
    private long sentAtMillis;

    /** Whether the roster has changed since the last batch that contains it. */
    private boolean rosterChanged;

    /**
     * Creates an empty queue.
     *
     * @param context the shared state of the cell's owner
     * @param listener called when a change is stored or a job turns out to be cancelled
     */
    CommitQueue(CellContext context, Listener listener) {
        this.context = context;
        this.listener = listener;
        this.headRevision = context.term.headRevision();
    }

    /**
     * Queues a job for the next batch after a change of its progress or state.
     *
     * @param job the job that has changed
     */
    void change(Job job) {
        job.version++;
        changed.add(job);
        plan();
    }

    /** Queues the roster for the next batch after a worker was added or removed. */
    void changeRoster() {
        rosterChanged = true;
        plan();
    }

    /**
     * Discards the unstored changes of a job whose record was changed by another process. They
     * count as stored, so that the run ends they contain can be acknowledged.
     *
     * @param job the job
     */
    void forget(Job job) {
        changed.remove(job);
        job.committedVersion = job.version;
    }

    /** Schedules the next batch unless one is scheduled or in flight. */
    private void plan() {
        if (planned || group != null || context.over) {
            return;
        }
        planned = true;
        long wait = sentAtMillis + context.settings.commitIntervalMillis() - context.now();
        context.schedule(Math.max(1, wait), this::send);
    }

    /** Builds the next batch from the queued changes and sends it. */
    private void send() {
        planned = false;
        if (group != null || (changed.isEmpty() && !rosterChanged)) {
            return;
        }
        sequence++;
        Group next = new Group(sequence);
        StoreTransaction commit = next.commit;
        commit.expectRevision(CellKeys.head(context.cell), headRevision);
        commit.put(
                CellKeys.head(context.cell),
                StoredValueCodec.write(
                        new HeadRecord(
                                context.term.generation(), sequence, context.term.owner().node())));
        if (rosterChanged) {
            rosterChanged = false;
            addRoster(next);
        }
        int rows = FIXED_ROWS;
        for (Job job : new ArrayList<>(changed)) {
            int needed = job.state.isFinal() ? FINAL_ROWS : 1;
            if (rows + needed > MOST_ROWS) {
                break;
            }
            rows += needed;
            changed.remove(job);
            next.add(job);
            add(commit, job);
        }
        group = next;
        dispatch();
    }

    /**
     * Adds the roster to a batch: the present workers and those that previous owners may still use.
     *
     * @param next the batch
     */
    private void addRoster(Group next) {
        Set<String> ids = new TreeSet<>(context.unsettled);
        for (WorkerRecord worker : context.allWorkers()) {
            ids.add(worker.id);
            next.enrolled.add(worker);
        }
        next.commit.put(
                CellKeys.roster(context.cell),
                StoredValueCodec.write(new RosterRecord(List.copyOf(ids))));
    }

    /**
     * Adds a job to a transaction: its progress, or its final state and the removal of its open
     * records.
     *
     * @param commit the transaction
     * @param job the job
     */
    private void add(StoreTransaction commit, Job job) {
        String progress = CellKeys.progress(context.cell) + job.id();
        if (!job.state.isFinal()) {
            job.progressStored = true;
            commit.put(progress, StoredValueCodec.write(ProgressRecord.of(job)));
            return;
        }
        String key = CellKeys.submission(job.id());
        commit.expectRevision(key, job.createdRevision);
        commit.put(
                key,
                StoredValueCodec.write(
                        new SubmissionRecord(
                                context.cell,
                                job.accepted.route(),
                                job.state,
                                context.runtime.unixMillis())));
        commit.remove(CellKeys.inbox(context.cell) + job.id());
        if (job.progressStored) {
            commit.remove(progress);
        }
    }

    /** Sends the current batch, for the first time or again after a failure. */
    private void dispatch() {
        Group sent = group;
        if (sent == null || context.over) {
            return;
        }
        sentAtMillis = context.now();
        context.store.commit(sent.commit, result -> onReply(sent, result));
    }

    /**
     * Handles the answer to a batch.
     *
     * @param sent the batch
     * @param result the answer
     */
    private void onReply(Group sent, StoreResult<CommitReply> result) {
        if (context.over || group != sent) {
            return;
        }
        switch (result.status()) {
            case OK -> finish(sent, result.require().revision());
            case CONFLICT -> resolve(sent, result.value());
            case UNKNOWN -> context.schedule(RETRY_MILLIS, () -> readHead(sent));
            default -> context.schedule(RETRY_MILLIS, this::dispatch);
        }
    }

    /**
     * Handles a conflict. If the head key is unchanged, the condition on a finished job has failed;
     * the batch is dissolved and its jobs are queued again, finished ones after their record was
     * checked.
     *
     * @param sent the batch
     * @param reply the current items, or null if the answer did not include them
     */
    private void resolve(Group sent, @Nullable CommitReply reply) {
        context.log.log(
                "commit.conflict",
                "cell",
                context.cell,
                "sequence",
                sent.sequence,
                "jobs",
                sent.versions.size(),
                "conditions",
                sent.commit.expectedRevisions().size(),
                "told",
                reply == null ? 0 : reply.currentItems().size());
        if (reply == null || reply.currentRevision(CellKeys.head(context.cell)) != headRevision) {
            readHead(sent);
            return;
        }
        group = null;
        for (Job job : sent.versions.keySet()) {
            if (job.state.isFinal()) {
                verify(job);
            } else {
                changed.add(job);
            }
        }
        rosterChanged = rosterChanged || !sent.enrolled.isEmpty();
        acknowledge();
        plan();
    }

    /**
     * Reads the record of a finished job after a conflict, since its caller may have cancelled it.
     * The items in the conflict reply can't show this, because they may be incomplete.
     *
     * @param job the finished job
     */
    private void verify(Job job) {
        context.store.read(CellKeys.submission(job.id()), result -> onRecord(job, result));
    }

    /**
     * Queues a finished job again if its record is unchanged; otherwise its caller has cancelled
     * it.
     *
     * @param job the finished job
     * @param result the reading of its record
     */
    private void onRecord(Job job, StoreResult<StoreReading> result) {
        if (context.over) {
            return;
        }
        boolean absent = result.status() == StoreStatus.ABSENT;
        if (result.status() != StoreStatus.OK && !absent) {
            context.schedule(RETRY_MILLIS, () -> verify(job));
            return;
        }
        StoreItem item = absent ? null : result.require().item();
        if (item != null && item.revision() == job.createdRevision) {
            changed.add(job);
        } else {
            forget(job);
            listener.onTaken(job);
            acknowledge();
        }
        plan();
    }

    /**
     * Reads the head to find out whether a batch was stored.
     *
     * @param sent the batch whose outcome is unknown
     */
    private void readHead(Group sent) {
        if (!context.over && group == sent) {
            context.store.read(CellKeys.head(context.cell), result -> onHead(sent, result));
        }
    }

    /**
     * Determines from the head whether a batch was stored. Sends the batch again if it was not, and
     * ends the term if another process has changed the head.
     *
     * @param sent the batch whose outcome is unknown
     * @param result the reading of the head
     */
    private void onHead(Group sent, StoreResult<StoreReading> result) {
        if (context.over || group != sent) {
            return;
        }
        if (result.status() != StoreStatus.OK) {
            context.schedule(RETRY_MILLIS, () -> readHead(sent));
            return;
        }
        StoreItem item = result.require().item();
        HeadRecord head =
                item == null ? null : StoredValueCodec.read(item.value(), HeadRecord.class);
        if (item == null || head == null || head.generation() != context.term.generation()) {
            context.end("the head belongs to another generation");
        } else if (head.sequence() == sent.sequence) {
            finish(sent, item.revision());
        } else if (item.revision() == headRevision) {
            dispatch();
        } else {
            context.end("the head was changed by another process of this generation");
        }
    }

    /**
     * Marks the changes of a batch as stored and schedules the next batch if more changes are
     * queued.
     *
     * @param sent the batch
     * @param revision the revision of the head key that the batch wrote
     */
    private void finish(Group sent, long revision) {
        group = null;
        headRevision = revision;
        sent.versions.forEach(
                (job, version) -> {
                    job.committedVersion = Math.max(job.committedVersion, version);
                    if (job.state.isFinal() && job.committedVersion == job.version) {
                        listener.onStored(job);
                    }
                });
        for (WorkerRecord worker : sent.enrolled) {
            worker.enrolled = true;
        }
        acknowledge();
        if (!changed.isEmpty() || rosterChanged) {
            plan();
        }
    }

    /** Advances the acknowledgements of all workers over the run ends whose effects are stored. */
    void acknowledge() {
        Collection<WorkerRecord> workers = context.allWorkers();
        for (WorkerRecord worker : workers) {
            if (!worker.pendingEnds.isEmpty()) {
                worker.advanceAcknowledgement(context.settled, context.term.runBase());
                if (worker.pendingEnds.isEmpty()) {
                    listener.onAcknowledgeable(worker);
                }
            }
        }
    }

    /** Called with the effects of batches. */
    interface Listener {

        /**
         * Called when the record of a finished job was changed by another process, which means that
         * the caller has cancelled the job.
         *
         * @param job the job
         */
        void onTaken(Job job);

        /**
         * Called when the final state of a job is stored.
         *
         * @param job the finished job
         */
        void onStored(Job job);

        /**
         * Called when the effects of all run ends that a worker has reported are stored, so that
         * the worker can be told to discard them.
         *
         * @param worker the worker
         */
        void onAcknowledgeable(WorkerRecord worker);
    }

    /** The changes that are stored in one transaction. */
    private static final class Group {

        /** The number of the batch in the term. */
        private final long sequence;

        /** The transaction. */
        private final StoreTransaction commit = new StoreTransaction();

        /** The jobs that the batch stores, each with the version that is stored. */
        private final Map<Job, Long> versions = new LinkedHashMap<>();

        /**
         * The workers in the roster that the batch stores, empty if it does not store the roster.
         */
        private final List<WorkerRecord> enrolled = new ArrayList<>();

        /**
         * Creates an empty batch.
         *
         * @param sequence the number of the batch in the term
         */
        Group(long sequence) {
            this.sequence = sequence;
        }

        /**
         * Notes that the batch stores a job at its current version.
         *
         * @param job the job
         */
        void add(Job job) {
            versions.put(job, job.version);
        }
    }
}
