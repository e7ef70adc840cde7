package org.damasktiller.authority.cell;

import java.util.ArrayList;
import java.util.List;
import org.damasktiller.resource.Resources;
import org.jspecify.annotations.Nullable;

/**
 * Holds a job in the memory of the owner: its committed record, the change that is being committed,
 * and what the owner knows of its present attempt.
 */
final class Job {

    /** The committed record, or the first proposed one while the job is not accepted. */
    private JobRecord record;

    /** The record that is being committed, or null. */
    private @Nullable JobRecord proposed;

    /** The position of the proposed record in the log. */
    private long position;

    /** Whether the acceptance is committed. */
    private boolean accepted;

    /** Whether the present attempt may have begun. */
    private boolean begun;

    /** Whether the worker was last seen to run the present attempt. */
    private boolean running;

    /** When the present attempt is expected to end, in milliseconds. */
    private long expectedEndMillis;

    /** Whether the job has to make room. */
    private boolean evicting;

    /** When the latest start of the present attempt expires on the worker's clock. */
    private long startExpiryMillis;

    /** The callers whose cancellation is to be made after the next commit. */
    private final List<Long> cancelWaiters = new ArrayList<>();

    /** The callers who wait for the next commit. */
    private final List<Long> waiters = new ArrayList<>();

    /**
     * Creates a job.
     *
     * @param record the first record
     * @param accepted whether the record is committed
     */
    Job(JobRecord record, boolean accepted) {
        this.record = record;
        this.accepted = accepted;
        this.begun = accepted;
    }

    /**
     * Returns the committed record.
     *
     * @return the record
     */
    JobRecord record() {
        return record;
    }

    /**
     * Returns what the job wants.
     *
     * @return the resources
     */
    Resources resources() {
        return record.submission().task().resources();
    }

    /**
     * Returns the record that is being committed.
     *
     * @return the record, or null
     */
    @Nullable JobRecord proposed() {
        return proposed;
    }

    /**
     * Returns the position of the proposed record.
     *
     * @return the position in the log
     */
    long position() {
        return position;
    }

    /**
     * Records that a change is being committed.
     *
     * @param next the new record
     * @param at its position in the log
     */
    void propose(JobRecord next, long at) {
        proposed = next;
        position = at;
    }

    /** Records that the proposed change is committed. A change of the binding begins anew. */
    void commit() {
        JobRecord next = proposed;
        if (next == null) {
            throw new IllegalStateException("nothing proposed for " + record.id());
        }
        if (!next.binding().equals(record.binding())) {
            cannotHaveBegun();
            evicting = false;
        }
        running = running && !next.state().ended();
        record = next;
        proposed = null;
        accepted = true;
    }

    /**
     * Tells whether the acceptance is committed.
     *
     * @return whether the job is accepted
     */
    boolean accepted() {
        return accepted;
    }

    /**
     * Tells whether the present attempt may have begun.
     *
     * @return whether it may have begun
     */
    boolean begun() {
        return begun;
    }

    /** Records the proof that the present attempt has not begun and cannot begin by itself. */
    void cannotHaveBegun() {
        begun = false;
        running = false;
        startExpiryMillis = 0;
    }

    /**
     * Tells whether the job is bound and no change of it is being committed.
     *
     * @return whether it is bound
     */
    boolean settled() {
        return proposed == null && record.state() == JobState.BOUND;
    }

    /**
     * Tells whether the present attempt is to be started, or started again because the outcome of
     * its start is not known.
     *
     * @return whether a start is to be sent
     */
    boolean startWanted() {
        return !running && settled();
    }

    /**
     * Tells whether the worker was last seen to run the present attempt.
     *
     * @return whether it runs
     */
    boolean running() {
        return running;
    }

    /**
     * Records that the worker runs the present attempt.
     *
     * @param nowMillis the time, in milliseconds
     */
    void seenRunning(long nowMillis) {
        if (!running) {
            expectedEndMillis = nowMillis + record.submission().task().runTimeMillis();
        }
        begun = true;
        running = true;
    }

    /**
     * Returns when the present attempt is expected to end.
     *
     * @return the time, in milliseconds
     */
    long expectedEndMillis() {
        return expectedEndMillis;
    }

    /**
     * Tells whether the job has to make room.
     *
     * @return whether it is to be stopped with a checkpoint
     */
    boolean evicting() {
        return evicting;
    }

    /** Records that the job has to make room. */
    void evict() {
        evicting = true;
    }

    /**
     * Adds a caller whose cancellation is to be made after the next commit.
     *
     * @param replyId the number of the reply
     */
    void awaitCancel(long replyId) {
        cancelWaiters.add(replyId);
    }

    /**
     * Takes the callers whose cancellation is still to be made.
     *
     * @return the numbers of the replies
     */
    List<Long> takeCancelWaiters() {
        List<Long> taken = List.copyOf(cancelWaiters);
        cancelWaiters.clear();
        return taken;
    }

    /**
     * Returns when the latest start of the present attempt expires.
     *
     * @return the time on the worker's clock, in milliseconds, or zero if none was sent
     */
    long startExpiryMillis() {
        return startExpiryMillis;
    }

    /**
     * Records that a start was sent.
     *
     * @param expiryMillis when it expires on the worker's clock, in milliseconds
     */
    void startSent(long expiryMillis) {
        begun = true;
        startExpiryMillis = expiryMillis;
    }

    /**
     * Adds a caller who waits for the next commit.
     *
     * @param replyId the number of the reply
     */
    void await(long replyId) {
        waiters.add(replyId);
    }

    /**
     * Takes the callers who wait.
     *
     * @return the numbers of the replies
     */
    List<Long> takeWaiters() {
        List<Long> taken = List.copyOf(waiters);
        waiters.clear();
        return taken;
    }

    /**
     * Describes the job to callers.
     *
     * @return the state
     */
    JobStatus status() {
        return new JobStatus(
                record.id(),
                record.submission().key(),
                record.state(),
                record.worker(),
                record.binding().attempt(),
                running,
                record.result());
    }
}
