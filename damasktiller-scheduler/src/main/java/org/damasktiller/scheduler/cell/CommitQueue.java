package org.damasktiller.scheduler.cell;

import java.util.ArrayDeque;
import java.util.Collection;
import java.util.Queue;
import org.damasktiller.scheduler.port.CommitReply;
import org.damasktiller.scheduler.port.StoreResult;
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
    private final CommitListener listener;

    /** Reads the records of finished jobs after conflicts. */
    private final FinishedRecordCheck recordCheck;

    /** Reads the head after batches whose outcome is unknown. */
    private final HeadCheck headCheck;

    /** Finds what the store rejects as invalid. */
    private final RejectedItems rejectedItems;

    /** The jobs whose changes are not in a batch yet. */
    private final QueuedJobs queuedJobs;

    /**
     * The moves and removals that are not in a batch yet, in the order in which they were queued.
     */
    private final Queue<PendingMove> queuedMoves = new ArrayDeque<>();

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
    CommitQueue(CellContext context, CommitListener listener) {
        this.context = context;
        this.listener = listener;
        this.recordCheck = new FinishedRecordCheck(context, this::onRecordChecked);
        this.headCheck = new HeadCheck(context);
        this.rejectedItems = new RejectedItems(context);
        this.queuedJobs = new QueuedJobs(context, rejectedItems, this::onPartsRead);
        this.headRevision = context.term.headRevision();
    }

    /**
     * Queues a job for the next batch after a change of a task or of the state. Progress that was
     * set aside is not stored until the store takes it, but the final state of the job is.
     *
     * @param task the task that has changed; with it the rest of its gang
     */
    void enqueue(TaskRecord task) {
        Job job = task.step.occurrence.job;
        job.onChanged(task);
        if (job.setAside && !job.state.isFinal()) {
            return;
        }
        queuedJobs.add(job);
        scheduleSend();
    }

    /** Queues the roster for the next batch after an entry has changed. */
    void enqueueRoster() {
        rosterQueued = true;
        scheduleSend();
    }

    /**
     * Queues a move of tasks to another cell or a removal, which gets a batch of its own.
     *
     * @param move the move or removal
     */
    void enqueueMove(PendingMove move) {
        queuedMoves.add(move);
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
        job.discarded = true;
        job.committedVersion = job.version;
        queuedJobs.addRemovals(job, true);
        scheduleSend();
    }

    /**
     * Removes a key of the cell's progress.
     *
     * @param key the key, which nobody reads any more
     */
    void remove(String key) {
        queuedJobs.addRemoval(key);
        scheduleSend();
    }

    /** Schedules the next batch unless one is scheduled or in flight. */
    private void scheduleSend() {
        if (sendScheduled || batchInFlight != null || context.ended) {
            return;
        }
        sendScheduled = true;
        long wait = sentAtMillis + context.settings.commitIntervalMillis() - context.now();
        context.schedule(Math.max(1, wait), () -> context.loopUsage.run("commit", this::sendNext));
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
     * Takes the next queued move, unless a batch is in flight or the cell is handed over.
     *
     * @return the move, or null if there is none that may be sent
     */
    private @Nullable PendingMove takeMove() {
        while (batchInFlight == null && !queuedMoves.isEmpty()) {
            PendingMove move = queuedMoves.remove();
            if (handedOverListener == null && move.isPossible()) {
                return move;
            }
            move.onRefused("a task has got a run, or the job or the term is over");
        }
        return null;
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
        queuedJobs.addTo(batch);
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
            recordCheck.check(job);
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
            case INVALID -> handleInvalid(batch, result.reason());
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
        queuedJobs.onDiscarded(batch);
        queuedJobs.addFirst(batch.jobVersions.keySet());
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
     * Sends the changes of a batch that the store has rejected as invalid in smaller batches. What
     * is rejected alone is set aside, and the rest goes on. If an earlier copy of the batch is
     * stored after all, the next batch conflicts.
     *
     * @param batch the batch
     * @param reason the answer of the store, for the log
     */
    private void handleInvalid(CommitBatch batch, String reason) {
        if (rejectedItems.onRejected(batch, reason)) {
            batchInFlight = null;
            queuedJobs.onDiscarded(batch);
            batch.jobVersions
                    .keySet()
                    .forEach(job -> rejectedItems.scheduleRetry(job, () -> enqueueAgain(job)));
            if (batch.hasRoster) {
                context.roster.onDiscarded();
            }
            sendScheduled = true;
            context.schedule(RETRY_MILLIS, this::sendNext);
        } else {
            discardBatch(batch);
        }
    }

    /**
     * Queues a job that was set aside again, with its present progress or state.
     *
     * @param job the job
     */
    private void enqueueAgain(Job job) {
        queuedJobs.add(job);
        scheduleSend();
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
        queuedJobs.onDiscarded(batch);
        for (Job job : batch.jobVersions.keySet()) {
            if (job.state.isFinal()) {
                recordCheck.check(job);
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
     * Queues a finished job again if its record is unchanged; otherwise its caller has cancelled
     * it.
     *
     * @param job the finished job
     * @param unchanged whether its record is unchanged
     */
    private void onRecordChecked(Job job, boolean unchanged) {
        if (unchanged) {
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
            headCheck.check(batch.sequence, headRevision, head -> onHead(batch, head));
        }
    }

    /**
     * Completes a batch that was stored. Sends it again if it was not, and ends the term if another
     * process has changed the head.
     *
     * @param batch the batch whose outcome was unknown
     * @param head what the head shows
     */
    private void onHead(CommitBatch batch, HeadCheck.Head head) {
        if (context.ended || batchInFlight != batch) {
            return;
        }
        switch (head.outcome()) {
            case NOT_KNOWN -> context.schedule(RETRY_MILLIS, () -> readHead(batch));
            case OTHER_GENERATION -> context.endTerm("the head belongs to another generation");
            case STORED -> completeBatch(batch, head.revision());
            case OTHER_PROCESS ->
                    context.endTerm("the head was changed by another process of this generation");
            default -> onNotStored(batch);
        }
    }

    /**
     * Sends a batch again that is not stored, or gives up a move that has conflicted.
     *
     * @param batch the batch
     */
    private void onNotStored(CommitBatch batch) {
        if (batch.move != null && batch.conflicted) {
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
        rejectedItems.onStored(batch);
        headRevision = revision;
        batch.jobVersions.forEach(
                (job, version) -> {
                    job.onStored(version);
                    if (job.state.isFinal() && job.committedVersion == job.version) {
                        queuedJobs.addRemovals(job, false);
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
        if (!queuedJobs.isEmpty() || rosterQueued || !queuedMoves.isEmpty()) {
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
}
