package org.damasktiller.decision.fairshare;

import org.jspecify.annotations.Nullable;

/** Keeps the waiting jobs of one kind and one class of sizes in order of arrival. */
final class SizeQueue {

    /** The kind to which the jobs belong. */
    final KindQueue kind;

    /** The sequence under which the list stands in the order of its kind. */
    long orderKey;

    /** The first job, or null if there is none. */
    private @Nullable QueuedJob first;

    /** The last job, or null if there is none. */
    private @Nullable QueuedJob last;

    /**
     * Creates an empty list.
     *
     * @param kind the kind to which the jobs belong
     */
    SizeQueue(KindQueue kind) {
        this.kind = kind;
    }

    /**
     * Returns the first job.
     *
     * @return the job, or null if there is none
     */
    @Nullable QueuedJob first() {
        return first;
    }

    /**
     * Appends a job.
     *
     * @param entry the job
     */
    void append(QueuedJob entry) {
        entry.previous = last;
        if (last == null) {
            first = entry;
        } else {
            last.next = entry;
        }
        last = entry;
    }

    /**
     * Removes a job in constant time.
     *
     * @param entry a job of this list
     */
    void remove(QueuedJob entry) {
        QueuedJob before = entry.previous;
        QueuedJob after = entry.next;
        if (before == null) {
            first = after;
        } else {
            before.next = after;
        }
        if (after == null) {
            last = before;
        } else {
            after.previous = before;
        }
        entry.previous = null;
        entry.next = null;
    }
}
