package org.damasktiller.scheduler.cell;

import java.util.ArrayList;
import java.util.Collection;
import java.util.LinkedHashSet;
import java.util.Set;
import org.damasktiller.scheduler.port.CommitReply;
import org.damasktiller.scheduler.port.StoreItem;
import org.damasktiller.scheduler.port.StoreReading;
import org.damasktiller.scheduler.port.StoreResult;
import org.damasktiller.scheduler.port.StoreStatus;
import org.jspecify.annotations.Nullable;

/**
 * Queues the changes of jobs and commits them to the store in batches, one batch at a time. Each
 * batch replaces the head key on condition of its revision, so that a batch fails if it arrives
 * late or was sent by a previous owner.
 */
final class CommitQueue {

    /** The delay after a call that was refused or got no answer, in milliseconds. */
    private static final long RETRY_MILLIS = 60;

    /** The shared state of the cell's owner. */
    private final CellContext context;

    /** Called when a change is stored or a job turns out to be cancelled. */
    private final Listener listener;

    /** Adds jobs to transactions. */
    private final JobRows jobRows;

    /** Reads which cells have parts of finished jobs. */
    private final PartsReader partsReader;

    /** The jobs whose changes are not in a batch yet, in the order of their first change. */
    private final Set<Job> queuedJobs = new LinkedHashSet<>();

    /** The move that is not in a batch yet, or null. */
    private @Nullable PendingMove queuedMove;

    /** The revision of the head key after the last batch that was stored. */
    private long headRevision;

    /** The number of the last batch of the term, 0 before the first. */
    private long sequence;

    /** The batch whose outcome is not known yet, or null. */
    private @Nullable CommitBatch batchInFlight;

    /** Whether the next batch is scheduled. */
    private boolean sendScheduled;

    /** When the last batch was sent, in milliseconds. */
    private long sentAtMillis;

    /** Whether the roster has changed since the last batch that contains it. */
    private boolean rosterQueued;

    /** Called when the roster that has all workers closed is stored, null before it is queued. */
    private @Nullable Runnable handedOverListener;

    /**
     * Creates an empty queue.
     *
     * @param context the shared state of the cell's owner
     * @param listener called when a change is stored or a job turns out to be cancelled
     */
    CommitQueue(CellContext context, Listener listener) {
        this.context = context;
        this.listener = listener;
        this.jobRows = new JobRows(context);
        this.partsReader = new PartsReader(context);
        this.headRevision = context.term.headRevision();
    }

    /**
     * Queues a job for the next batch after a change of its progress or state.
     *
     * @param job the job that has changed
     */
    void enqueue(Job job) {
        job.version++;
        queuedJobs.add(job);
        scheduleSend();
    }

    /** Queues the roster for the next batch after an entry has changed. */
    void enqueueRoster() {
        rosterQueued = true;
        scheduleSend();
    }

    /**
     * Queues a move of tasks to another cell, which gets a batch of its own.
     *
     * @param move the move; the outcome of the one before is known
     */
    void enqueueMove(PendingMove move) {
        queuedMove = move;
        scheduleSend();
    }

    /**
     * Sends a roster that has all workers closed, with the changes that are queued. Nothing may be
     * started or granted after the listener has been called.
     *
     * @param onStored called when such a roster is stored
     */
    void handOver(Runnable onStored) {
        handedOverListener = onStored;
        context.roster.closeAll();
        enqueueRoster();
    }

    /**
     * Discards the unstored changes of a job whose record was changed by another process. They
     * count as stored, so that the run ends they contain can be acknowledged.
     *
     * @param job the job
     */
    void discard(Job job) {
        queuedJobs.remove(job);
        job.committedVersion = job.version;
    }

    /** Schedules the next batch unless one is scheduled or in flight. */
    private void scheduleSend() {
        if (sendScheduled || batchInFlight != null || context.ended) {
            return;
        }
        sendScheduled = true;
        long wait = sentAtMillis + context.settings.commitIntervalMillis() - context.now();
        context.schedule(Math.max(1, wait), this::sendNext);
    }

    /** Builds the next batch from the queued changes and sends it. */
    private void sendNext() {
        sendScheduled = false;
        PendingMove move = takeMove();
        if (batchInFlight != null || (queuedJobs.isEmpty() && !rosterQueued && move == null)) {
            return;
        }
        sequence++;
        CommitBatch batch = new CommitBatch(sequence, move);
        batch.commit.expectRevision(CellKeys.head(context.cell), headRevision);
        batch.commit.put(
                CellKeys.head(context.cell),
                StoredValueCodec.encode(
                        new HeadRecord(
                                context.term.generation(), sequence, context.term.owner().node())));
        if (move != null) {
            move.addTo(batch.commit);
        } else {
            addQueued(batch);
        }
        batchInFlight = batch;
        sendBatch();
    }

    /**
     * Takes the queued move, unless a batch is in flight or the cell is handed over.
     *
     * @return the move, or null if there is none that may be sent
     */
    private @Nullable PendingMove takeMove() {
        PendingMove move = queuedMove;
        if (move == null || batchInFlight != null) {
            return null;
        }
        queuedMove = null;
        if (handedOverListener != null || !move.isPossible()) {
            move.onRefused("a task has got a run, or the job or the term is over");
            return null;
        }
        return move;
    }

    /**
     * Adds the roster and the jobs that are queued to a batch, as many as it can hold.
     *
     * @param batch the batch
     */
    private void addQueued(CommitBatch batch) {
        if (rosterQueued) {
            rosterQueued = false;
            addRoster(batch);
        }
        int rows = JobRows.RESERVED_ROWS;
        for (Job job : new ArrayList<>(queuedJobs)) {
            if (job.state.isFinal() && job.part != null && job.parts == null) {
                queuedJobs.remove(job);
                partsReader.read(job, known -> onPartsRead(job, known));
                continue;
            }
            int needed = JobRows.countRows(job);
            if (rows + needed > JobRows.MAX_TRANSACTION_ROWS) {
                break;
            }
            rows += needed;
            queuedJobs.remove(job);
            batch.add(job);
            jobRows.add(batch.commit, job);
        }
    }

    /**
     * Adds the roster to a batch.
     *
     * @param batch the batch
     */
    private void addRoster(CommitBatch batch) {
        batch.commit.put(
                CellKeys.roster(context.cell),
                StoredValueCodec.encode(context.roster.createRecord()));
        batch.hasRoster = true;
        batch.handsOver = handedOverListener != null;
    }

    /**
     * Queues a finished job again once it is known which cells have parts of it.
     *
     * @param job the finished job
     * @param known whether that is known; otherwise its record has changed
     */
    private void onPartsRead(Job job, boolean known) {
        if (known) {
            queuedJobs.add(job);
            scheduleSend();
        } else {
            checkRecord(job);
        }
    }

    /** Sends the current batch, for the first time or again after a failure. */
    private void sendBatch() {
        CommitBatch batch = batchInFlight;
        if (batch == null || context.ended) {
            return;
        }
        sentAtMillis = context.now();
        context.store.commit(batch.commit, result -> onReply(batch, result));
    }

    /**
     * Handles the answer to a batch.
     *
     * @param batch the batch
     * @param result the answer
     */
    private void onReply(CommitBatch batch, StoreResult<CommitReply> result) {
        if (context.ended || batchInFlight != batch) {
            return;
        }
        switch (result.status()) {
            case OK -> completeBatch(batch, result.require().revision());
            case CONFLICT -> handleConflict(batch, result.value());
            case UNKNOWN -> {
                batch.mayBeStored = true;
                context.schedule(RETRY_MILLIS, () -> readHead(batch));
            }
            default -> {
                if ((batch.hasRoster || batch.move != null) && !batch.mayBeStored) {
                    discardBatch(batch);
                } else {
                    context.schedule(RETRY_MILLIS, this::sendBatch);
                }
            }
        }
    }

    /**
     * Discards a batch that the store has refused, and queues its changes for another one. What its
     * roster withdraws from workers that answer again must not be withdrawn until the store accepts
     * writes.
     *
     * @param batch the batch, which is certainly not stored
     */
    private void discardBatch(CommitBatch batch) {
        batchInFlight = null;
        queuedJobs.addAll(batch.jobVersions.keySet());
        if (batch.hasRoster) {
            rosterQueued = true;
            context.roster.onDiscarded();
        }
        if (batch.move != null) {
            batch.move.onRefused("the store rejects writes");
        }
        sendScheduled = true;
        context.schedule(RETRY_MILLIS, this::sendNext);
    }

    /**
     * Handles a conflict. If the head key is unchanged, the record of a finished job has changed.
     * The jobs of the batch are then queued again, a finished job only if its own record is
     * unchanged. Otherwise, and for a move, the head record shows whether the batch was stored.
     *
     * @param batch the batch
     * @param reply the current items, or null if the answer did not include them
     */
    private void handleConflict(CommitBatch batch, @Nullable CommitReply reply) {
        context.log.log(
                "commit.conflict",
                "cell",
                context.cell,
                "sequence",
                batch.sequence,
                "jobs",
                batch.jobVersions.size(),
                "conditions",
                batch.commit.expectedRevisions().size(),
                "told",
                reply == null ? 0 : reply.currentItems().size());
        batch.conflicted = true;
        if (batch.move != null
                || reply == null
                || reply.currentRevision(CellKeys.head(context.cell)) != headRevision) {
            readHead(batch);
            return;
        }
        batchInFlight = null;
        for (Job job : batch.jobVersions.keySet()) {
            if (job.state.isFinal()) {
                checkRecord(job);
            } else {
                queuedJobs.add(job);
            }
        }
        if (batch.hasRoster) {
            rosterQueued = true;
            context.roster.onDiscarded();
        }
        advanceAcknowledgements();
        scheduleSend();
    }

    /**
     * Reads the record of a finished job after a conflict, since its caller may have cancelled it.
     * The items in the conflict reply can't show this, because they may be incomplete.
     *
     * @param job the finished job
     */
    private void checkRecord(Job job) {
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
        if (context.ended) {
            return;
        }
        boolean absent = result.status() == StoreStatus.ABSENT;
        if (result.status() != StoreStatus.OK && !absent) {
            context.schedule(RETRY_MILLIS, () -> checkRecord(job));
            return;
        }
        StoreItem item = absent ? null : result.require().item();
        if (item != null && item.revision() == job.recordRevision) {
            job.parts = null;
            queuedJobs.add(job);
        } else {
            discard(job);
            listener.onCancelled(job);
            advanceAcknowledgements();
        }
        scheduleSend();
    }

    /**
     * Reads the head to find out whether a batch was stored.
     *
     * @param batch the batch whose outcome is unknown
     */
    private void readHead(CommitBatch batch) {
        if (!context.ended && batchInFlight == batch) {
            context.store.read(CellKeys.head(context.cell), result -> onHead(batch, result));
        }
    }

    /**
     * Determines from the head whether a batch was stored. Sends the batch again if it was not, and
     * ends the term if another process has changed the head.
     *
     * @param batch the batch whose outcome is unknown
     * @param result the reading of the head
     */
    private void onHead(CommitBatch batch, StoreResult<StoreReading> result) {
        if (context.ended || batchInFlight != batch) {
            return;
        }
        if (result.status() != StoreStatus.OK) {
            context.schedule(RETRY_MILLIS, () -> readHead(batch));
            return;
        }
        StoreItem item = result.require().item();
        HeadRecord head =
                item == null ? null : StoredValueCodec.decode(item.value(), HeadRecord.class);
        if (item == null || head == null || head.generation() != context.term.generation()) {
            context.endTerm("the head belongs to another generation");
        } else if (head.sequence() == batch.sequence) {
            completeBatch(batch, item.revision());
        } else if (item.revision() != headRevision) {
            context.endTerm("the head was changed by another process of this generation");
        } else if (batch.move != null && batch.conflicted) {
            batchInFlight = null;
            batch.move.onRefused("its submission has changed");
            scheduleSend();
        } else {
            sendBatch();
        }
    }

    /**
     * Marks the changes of a batch as stored and schedules the next batch if more changes are
     * queued.
     *
     * @param batch the batch
     * @param revision the revision of the head key that the batch wrote
     */
    private void completeBatch(CommitBatch batch, long revision) {
        batchInFlight = null;
        headRevision = revision;
        batch.jobVersions.forEach(
                (job, version) -> {
                    job.committedVersion = Math.max(job.committedVersion, version);
                    if (job.state.isFinal() && job.committedVersion == job.version) {
                        listener.onStored(job);
                    }
                });
        if (batch.hasRoster) {
            context.roster.onStored();
        }
        if (batch.move != null) {
            batch.move.onStored(revision);
        }
        if (batch.handsOver && handedOverListener != null) {
            handedOverListener.run();
            return;
        }
        advanceAcknowledgements();
        if (!queuedJobs.isEmpty() || rosterQueued || queuedMove != null) {
            scheduleSend();
        }
    }

    /** Advances the acknowledgements of all workers over the run ends whose effects are stored. */
    void advanceAcknowledgements() {
        Collection<WorkerRecord> workers = context.allWorkers();
        for (WorkerRecord worker : workers) {
            if (!worker.pendingEnds.isEmpty()) {
                worker.advanceAcknowledgement(
                        context.previousOwners.areFenced(), context.term.runNumberBase());
                if (worker.pendingEnds.isEmpty()) {
                    listener.onEndsStored(worker);
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
        void onCancelled(Job job);

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
        void onEndsStored(WorkerRecord worker);
    }
}
