package org.damasktiller.scheduler.cell;

/**
 * Estimates the memory that the open submissions of a cell take of their owner. The estimate is an
 * upper one: docs/CAPACITY.md has the measured figures.
 */
final class OpenWork {

    /** What a step of an occurrence that has begun takes without its tasks, in bytes. */
    static final long BYTES_PER_STEP = 700;

    /** What a submission takes beside its steps and the bytes of its record, in bytes. */
    private static final long BYTES_PER_SUBMISSION = 1_000;

    /** The number of tasks without records that take a byte, for the pages of their step. */
    private static final long TASKS_PER_BYTE = 16;

    /** What a task with a record and a run takes, in bytes. */
    private static final long BYTES_PER_RECORD = 550;

    /** The shared state of the cell's owner. */
    private final CellContext context;

    /**
     * Creates an estimate of the open submissions.
     *
     * @param context the shared state of the cell's owner
     */
    OpenWork(CellContext context) {
        this.context = context;
    }

    /**
     * Returns how much of the memory for open submissions is in use.
     *
     * @return the part that their estimate takes of {@link CellSettings#openWorkBytes}, in percent
     */
    int percent() {
        return (int) Math.min(Integer.MAX_VALUE, bytes() * 100 / context.settings.openWorkBytes());
    }

    /**
     * Estimates the memory that the open submissions take.
     *
     * @return the memory, in bytes
     */
    long bytes() {
        long bytes = 0;
        for (Job job : context.jobs.values()) {
            bytes += estimateBytes(job);
        }
        return bytes;
    }

    /**
     * Estimates the memory that a submission takes.
     *
     * @param job the submission
     * @return the memory, in bytes
     */
    private static long estimateBytes(Job job) {
        long bytes = BYTES_PER_SUBMISSION + job.entryBytes;
        for (OccurrenceRecord occurrence : job.occurrences.values()) {
            for (StepRecord step : occurrence.steps) {
                bytes +=
                        BYTES_PER_STEP
                                + step.count() / TASKS_PER_BYTE
                                + step.records.recordCount() * BYTES_PER_RECORD;
            }
        }
        return bytes;
    }
}
