package org.damasktiller.scheduler.cell;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.damasktiller.scheduler.port.StoreTransaction;
import org.jspecify.annotations.Nullable;

/** The changes of a cell that are stored in one transaction. */
final class CommitBatch {

    /** The number of the batch in the term. */
    final long sequence;

    /** The transaction. */
    final StoreTransaction commit = new StoreTransaction();

    /** The jobs that the batch stores, each with the version that is stored. */
    final Map<Job, Long> jobVersions = new LinkedHashMap<>();

    /** The keys of progress that the batch removes and nobody reads any more. */
    final List<String> removedKeys = new ArrayList<>();

    /** Whether the batch stores the roster. */
    boolean hasRoster;

    /** Whether the roster of the batch has all workers closed. */
    boolean handsOver;

    /** Whether a call with the batch got no answer, so that it may be carried out later. */
    boolean mayBeStored;

    /** Whether a call with the batch has conflicted. */
    boolean conflicted;

    /** The move that the batch stores instead of jobs, or null. */
    final @Nullable PendingMove move;

    /**
     * Creates an empty batch.
     *
     * @param sequence the number of the batch in the term
     * @param move the move that the batch stores instead of jobs, or null
     */
    CommitBatch(long sequence, @Nullable PendingMove move) {
        this.sequence = sequence;
        this.move = move;
    }

    /**
     * Notes that the batch stores a job at its current version.
     *
     * @param job the job
     */
    void add(Job job) {
        jobVersions.put(job, job.version);
    }

    /**
     * Counts what the store may reject by itself.
     *
     * @return the number of jobs, and one more if the batch stores the roster
     */
    int countItems() {
        return jobVersions.size() + (hasRoster ? 1 : 0);
    }
}
