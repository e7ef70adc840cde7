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

    /** The rows of a finished job with parts for their record: the condition and the removal. */
    private static final int PARTS_RECORD_ROWS = 2;

    /** The rows of a finished job for each other cell that has a part: two removals. */
    private static final int PART_ROWS = 2;

    /**
     * The most cells that may have parts of a submission, so that its final state fits in a
     * transaction.
     */
    static final int MAX_CELLS =
            MAX_TRANSACTION_ROWS - RESERVED_ROWS - FINISHED_JOB_ROWS - PARTS_RECORD_ROWS + 1;

    /** The shared state of the cell's owner. */
    private final CellContext context;

    /** Encodes the progress of jobs. */
    private final ProgressEncoder encoder;

    /**
     * Creates a writer for the jobs of a cell.
     *
     * @param context the shared state of the cell's owner
     */
    JobRows(CellContext context) {
        this.context = context;
        this.encoder = new ProgressEncoder(context.settings.valueBytes());
    }

    /**
     * Returns the most rows that a job needs in a transaction.
     *
     * @param job the job
     * @return the number of rows
     */
    static int countRows(Job job) {
        if (!job.state.isFinal()) {
            return job.blocks == null ? 1 : job.storedBlocks.countNext();
        }
        PartsRecord parts = job.parts;
        if (parts == null) {
            return FINISHED_JOB_ROWS;
        }
        int others = parts.allCells().size() - 1;
        return FINISHED_JOB_ROWS
                + PARTS_RECORD_ROWS
                + (removesProgressElsewhere(parts) ? others * PART_ROWS : others);
    }

    /**
     * Returns whether the final state of a submission fits in a transaction together with the
     * removal of the progress in other cells; otherwise that stays, as after a cancel.
     *
     * @param parts the cells that have parts
     * @return whether the progress is removed
     */
    private static boolean removesProgressElsewhere(PartsRecord parts) {
        int others = parts.allCells().size() - 1;
        return RESERVED_ROWS + FINISHED_JOB_ROWS + PARTS_RECORD_ROWS + others * PART_ROWS
                <= MAX_TRANSACTION_ROWS;
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
            addProgress(commit, job);
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
     * Adds the progress of a job: all of it, or the next blocks that have changed.
     *
     * @param commit the transaction
     * @param job the job, which is not finished
     */
    private void addProgress(StoreTransaction commit, Job job) {
        TaskBlocks blocks = job.blocks;
        if (blocks == null) {
            commit.put(
                    CellKeys.progressPrefix(context.cell) + job.id(),
                    encoder.encode(job, job.partOrWhole()));
            return;
        }
        for (int block : job.storedBlocks.takeNext()) {
            commit.put(
                    CellKeys.progressBlock(context.cell, job.id(), block),
                    encoder.encode(job, blocks, block, job.partOrWhole()));
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
                if (removesProgressElsewhere(parts)) {
                    commit.remove(CellKeys.progressPrefix(cell) + id);
                }
            }
        }
    }
}
