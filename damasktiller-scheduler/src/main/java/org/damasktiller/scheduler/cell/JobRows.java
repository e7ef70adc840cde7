package org.damasktiller.scheduler.cell;

import org.damasktiller.scheduler.model.PartsRecord;
import org.damasktiller.scheduler.model.SubmissionRecord;
import org.damasktiller.scheduler.port.StoreTransaction;

/** Adds the changes of jobs to transactions. Each condition, write and removal is a row. */
final class JobRows {

    /**
     * The most rows of a transaction, given by the platform's documentation; each condition, write
     * and removal is a row.
     */
    static final int MAX_TRANSACTION_ROWS = 32;

    /** The rows for the head, its condition and the roster, which are reserved in each batch. */
    static final int RESERVED_ROWS = 3;

    /** The most rows of a finished job: its record, the condition on it, and two removals. */
    private static final int FINISHED_JOB_ROWS = 4;

    /** The rows of a finished job for each other cell that has a part: two removals. */
    private static final int PART_ROWS = 2;

    /** The shared state of the cell's owner. */
    private final CellContext context;

    /**
     * Creates a writer for the jobs of a cell.
     *
     * @param context the shared state of the cell's owner
     */
    JobRows(CellContext context) {
        this.context = context;
    }

    /**
     * Returns the most rows that a job needs in a transaction.
     *
     * @param job the job
     * @return the number of rows
     */
    static int countRows(Job job) {
        if (!job.state.isFinal()) {
            return 1;
        }
        PartsRecord parts = job.parts;
        return FINISHED_JOB_ROWS + (parts == null ? 0 : parts.allCells().size() * PART_ROWS);
    }

    /**
     * Adds a job to a transaction: its progress, or its final state and the removal of its open
     * records.
     *
     * @param commit the transaction
     * @param job the job
     */
    void add(StoreTransaction commit, Job job) {
        String progress = CellKeys.progressPrefix(context.cell) + job.id();
        if (!job.state.isFinal()) {
            job.progressStored = true;
            commit.put(progress, StoredValueCodec.encode(ProgressRecord.of(job)));
            return;
        }
        String key = CellKeys.submission(job.id());
        commit.expectRevision(key, job.recordRevision);
        commit.put(
                key,
                StoredValueCodec.encode(
                        new SubmissionRecord(
                                job.parts == null ? context.cell : job.parts.first(),
                                job.accepted.route(),
                                job.state,
                                context.runtime.unixMillis())));
        commit.remove(CellKeys.openSubmissionsPrefix(context.cell) + job.id());
        if (job.progressStored) {
            commit.remove(progress);
        }
        PartsRecord parts = job.parts;
        if (parts != null) {
            removeParts(commit, job.id(), parts, job.partsRevision);
        }
    }

    /**
     * Adds the removal of what other cells store of a finished job to a transaction.
     *
     * @param commit the transaction
     * @param id the identifier of the submission
     * @param parts the cells that have parts of it
     * @param partsRevision the expected revision of the record of these cells
     */
    private void removeParts(
            StoreTransaction commit, String id, PartsRecord parts, long partsRevision) {
        commit.expectRevision(CellKeys.parts(id), partsRevision);
        commit.remove(CellKeys.parts(id));
        for (String cell : parts.allCells()) {
            if (!cell.equals(context.cell)) {
                commit.remove(CellKeys.openSubmissionsPrefix(cell) + id);
                commit.remove(CellKeys.progressPrefix(cell) + id);
            }
        }
    }
}
