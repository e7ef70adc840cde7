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
import org.damasktiller.scheduler.port.Commit;
import org.damasktiller.scheduler.port.CommitReply;
import org.damasktiller.scheduler.port.StoreItem;
import org.damasktiller.scheduler.port.StoreReading;
import org.damasktiller.scheduler.port.StoreResult;
import org.damasktiller.scheduler.port.StoreStatus;
import org.jspecify.annotations.Nullable;

/**
 * Stores the changes of jobs in groups, one group at a time. Each group replaces the head key on
 * condition of its revision, so that a group that is carried out late, or by a former owner, fails.
 */
final class CommitLoop {

    /** The most rows of a transaction, from the platform's pages. */
    private static final int MOST_ROWS = 32;

    /** The rows of the head and of the roster. */
    private static final int FIXED_ROWS = 3;

    /** The rows of a job that is over. */
    private static final int FINAL_ROWS = 4;

    /** The pause after a call that was refused or got no answer, in milliseconds. */
    private static final long RETRY_MILLIS = 60;

    /** The shared part. */
    private final CellCore core;

    /** Told of jobs that turn out to be cancelled, and of workers whose ends may be forgotten. */
    private final Listener listener;

    /** The jobs that have changes to store, in order. */
    private final Set<Job> changed = new LinkedHashSet<>();

    /** The revision of the head key. */
    private long headRevision;

    /** The number of the last group. */
    private long sequence;

    /** The group on its way, or null. */
    private @Nullable Group group;

    /** Whether the next group is planned. */
    private boolean planned;

    /** When the last group was sent, in milliseconds. */
    private long sentAtMillis;

    /** Whether the roster has changed. */
    private boolean rosterChanged;

    /**
     * Creates a loop with nothing to store.
     *
     * @param core the shared part
     * @param listener told of the effects
     */
    CommitLoop(CellCore core, Listener listener) {
        this.core = core;
        this.listener = listener;
        this.headRevision = core.term.headRevision();
    }

    /**
     * Notes that a job has a change to store.
     *
     * @param job the job
     */
    void change(Job job) {
        job.version++;
        changed.add(job);
        plan();
    }

    /** Notes that the workers in use have changed. */
    void changeRoster() {
        rosterChanged = true;
        plan();
    }

    /**
     * Forgets a job whose record was changed by others.
     *
     * @param job the job
     */
    void forget(Job job) {
        changed.remove(job);
        job.committedVersion = job.version;
    }

    /** Plans the next group. */
    private void plan() {
        if (planned || group != null || core.over) {
            return;
        }
        planned = true;
        long wait = sentAtMillis + core.settings.commitIntervalMillis() - core.now();
        core.schedule(Math.max(1, wait), this::send);
    }

    /** Sends the next group. */
    private void send() {
        planned = false;
        if (group != null || (changed.isEmpty() && !rosterChanged)) {
            return;
        }
        sequence++;
        Group next = new Group(sequence);
        Commit commit = next.commit;
        commit.expect(CellKeys.head(core.cell), headRevision);
        commit.put(
                CellKeys.head(core.cell),
                StoredValues.write(
                        new HeadRecord(
                                core.term.generation(), sequence, core.term.owner().node())));
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
     * Adds the workers in use to a group.
     *
     * @param next the group
     */
    private void addRoster(Group next) {
        Set<String> ids = new TreeSet<>(core.unsettled);
        for (WorkerRecord worker : core.allWorkers()) {
            ids.add(worker.id);
            next.enrolled.add(worker);
        }
        next.commit.put(
                CellKeys.roster(core.cell), StoredValues.write(new RosterRecord(List.copyOf(ids))));
    }

    /**
     * Adds the change of a job.
     *
     * @param commit the transaction
     * @param job the job
     */
    private void add(Commit commit, Job job) {
        String progress = CellKeys.progress(core.cell) + job.id();
        if (!job.state.isFinal()) {
            job.progressStored = true;
            commit.put(progress, StoredValues.write(ProgressRecord.of(job)));
            return;
        }
        String key = CellKeys.submission(job.id());
        commit.expect(key, job.createdRevision);
        commit.put(
                key,
                StoredValues.write(
                        new SubmissionRecord(
                                core.cell,
                                job.accepted.route(),
                                job.state,
                                core.runtime.unixMillis())));
        commit.remove(CellKeys.inbox(core.cell) + job.id());
        if (job.progressStored) {
            commit.remove(progress);
        }
    }

    /** Sends the group on its way, again if need be. */
    private void dispatch() {
        Group sent = group;
        if (sent == null || core.over) {
            return;
        }
        sentAtMillis = core.now();
        core.store.commit(sent.commit, result -> onReply(sent, result));
    }

    /**
     * Takes the answer to a group.
     *
     * @param sent the group
     * @param result the answer
     */
    private void onReply(Group sent, StoreResult<CommitReply> result) {
        if (core.over || group != sent) {
            return;
        }
        switch (result.status()) {
            case OK -> finish(sent, result.require().revision());
            case CONFLICT -> resolve(sent, result.value());
            case UNKNOWN -> core.schedule(RETRY_MILLIS, () -> readHead(sent));
            default -> core.schedule(RETRY_MILLIS, this::dispatch);
        }
    }

    /**
     * Finds out which condition of a group did not hold.
     *
     * @param sent the group
     * @param reply the current items, or null if they were not told
     */
    private void resolve(Group sent, @Nullable CommitReply reply) {
        core.log.log(
                "commit.conflict",
                "cell",
                core.cell,
                "sequence",
                sent.sequence,
                "jobs",
                sent.versions.size(),
                "conditions",
                sent.commit.expected().size(),
                "told",
                reply == null ? 0 : reply.current().size());
        if (reply == null || reply.currentRevision(CellKeys.head(core.cell)) != headRevision) {
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
     * Reads the record of a job that is over and took part in a conflict: its caller may have
     * cancelled it. Only the record itself tells; the items of the conflict may not be complete.
     *
     * @param job the job
     */
    private void verify(Job job) {
        core.store.read(CellKeys.submission(job.id()), result -> onRecord(job, result));
    }

    /**
     * Judges the record of a job that is over.
     *
     * @param job the job
     * @param result the reading
     */
    private void onRecord(Job job, StoreResult<StoreReading> result) {
        if (core.over) {
            return;
        }
        boolean absent = result.status() == StoreStatus.ABSENT;
        if (result.status() != StoreStatus.OK && !absent) {
            core.schedule(RETRY_MILLIS, () -> verify(job));
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
     * Reads the head to find out whether a group was carried out.
     *
     * @param sent the group
     */
    private void readHead(Group sent) {
        if (!core.over && group == sent) {
            core.store.read(CellKeys.head(core.cell), result -> onHead(sent, result));
        }
    }

    /**
     * Judges the head.
     *
     * @param sent the group whose outcome is not known
     * @param result the reading
     */
    private void onHead(Group sent, StoreResult<StoreReading> result) {
        if (core.over || group != sent) {
            return;
        }
        if (result.status() != StoreStatus.OK) {
            core.schedule(RETRY_MILLIS, () -> readHead(sent));
            return;
        }
        StoreItem item = result.require().item();
        HeadRecord head = item == null ? null : StoredValues.read(item.value(), HeadRecord.class);
        if (item == null || head == null || head.generation() != core.term.generation()) {
            core.end("the head belongs to another generation");
        } else if (head.sequence() == sent.sequence) {
            finish(sent, item.revision());
        } else if (item.revision() == headRevision) {
            dispatch();
        } else {
            core.end("the head was changed by another process of this generation");
        }
    }

    /**
     * Notes that a group is stored.
     *
     * @param sent the group
     * @param revision its revision
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
            worker.inStoredRoster = true;
        }
        acknowledge();
        if (!changed.isEmpty() || rosterChanged) {
            plan();
        }
    }

    /** Moves the acknowledgements of the workers and tells of those that moved. */
    void acknowledge() {
        Collection<WorkerRecord> workers = core.allWorkers();
        for (WorkerRecord worker : workers) {
            if (!worker.pendingEnds.isEmpty()) {
                worker.advanceAcknowledgement(core.settled, core.term.runBase());
                if (worker.pendingEnds.isEmpty()) {
                    listener.onAcknowledgeable(worker);
                }
            }
        }
    }

    /** Told of the effects of groups. */
    interface Listener {

        /**
         * Tells that the record of a job was changed by others, so that its caller has cancelled
         * it.
         *
         * @param job the job
         */
        void onTaken(Job job);

        /**
         * Tells that the final state of a job is stored.
         *
         * @param job the job
         */
        void onStored(Job job);

        /**
         * Tells that all ends of a worker that were taken in may be forgotten by it.
         *
         * @param worker the worker
         */
        void onAcknowledgeable(WorkerRecord worker);
    }

    /** A group of changes in one transaction. */
    private static final class Group {

        /** The number of the group in the term. */
        private final long sequence;

        /** The transaction. */
        private final Commit commit = new Commit();

        /** The versions of the jobs that the group stores. */
        private final Map<Job, Long> versions = new LinkedHashMap<>();

        /** The workers of the roster that the group stores. */
        private final List<WorkerRecord> enrolled = new ArrayList<>();

        /**
         * Creates an empty group.
         *
         * @param sequence the number of the group
         */
        Group(long sequence) {
            this.sequence = sequence;
        }

        /**
         * Adds a job at its present version.
         *
         * @param job the job
         */
        void add(Job job) {
            versions.put(job, job.version);
        }
    }
}
