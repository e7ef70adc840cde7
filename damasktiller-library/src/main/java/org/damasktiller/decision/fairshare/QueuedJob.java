package org.damasktiller.decision.fairshare;

import org.jspecify.annotations.Nullable;

/** Links a waiting job into the list of its size, so that it can be removed in constant time. */
final class QueuedJob {

    /** The job. */
    final PendingJob job;

    /** The order of arrival within the whole queue. */
    final long sequence;

    /** The list that holds the job. */
    final SizeQueue owner;

    /** The job before, or null for the first. */
    @Nullable QueuedJob previous;

    /** The job after, or null for the last. */
    @Nullable QueuedJob next;

    /**
     * Creates an entry that is not linked yet.
     *
     * @param job the job
     * @param sequence the order of arrival
     * @param owner the list that will hold it
     */
    QueuedJob(PendingJob job, long sequence, SizeQueue owner) {
        this.job = job;
        this.sequence = sequence;
        this.owner = owner;
    }
}
