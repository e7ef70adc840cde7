package org.damasktiller.scheduler.cell;

/**
 * Estimates the memory that the open submissions of a cell take of their owner, and decides which
 * of them it may load. The estimate is an upper one: docs/CAPACITY.md has the measured figures.
 */
final class OpenWork {

    /** What a task with a record and a run takes, in bytes. */
    private static final long BYTES_PER_RECORD = 550;

    /** The shared state of the cell's owner. */
    private final CellContext context;

    /** What the loaded submissions took when they were loaded, in bytes. */
    private long loadedBytes;

    /** What the large ones among them took, in bytes. */
    private long largeBytes;

    /**
     * Creates an estimate of the open submissions.
     *
     * @param context the shared state of the cell's owner
     */
    OpenWork(CellContext context) {
        this.context = context;
    }

    /**
     * Takes note that a submission is loaded.
     *
     * @param job the submission
     */
    void onLoaded(Job job) {
        count(job, 1);
    }

    /**
     * Takes note that a loaded submission is closed or has left.
     *
     * @param job the submission
     */
    void onRemoved(Job job) {
        count(job, -1);
    }

    /**
     * Adds the memory of a submission, or takes it off.
     *
     * @param job the submission
     * @param sign 1 to add it, -1 to take it off
     */
    private void count(Job job, int sign) {
        loadedBytes += sign * job.estimatedBytes;
        if (isLarge(job.estimatedBytes)) {
            largeBytes += sign * job.estimatedBytes;
        }
    }

    /**
     * Returns whether a submission is large.
     *
     * @param bytes the memory that it takes, in bytes
     * @return whether it is one of those that leave some memory to the others
     */
    boolean isLarge(long bytes) {
        return SubmissionSize.isLarge(bytes, context.settings.openWorkBytes());
    }

    /**
     * Returns whether the owner may load one more submission. A single large one may always be
     * loaded, so that none is too large to be served.
     *
     * @param bytes the memory that it takes, in bytes
     * @return whether there is memory for it
     */
    boolean admits(long bytes) {
        long bound = context.settings.openWorkBytes();
        if (!isLarge(bytes)) {
            return loadedBytes - excessBytes() + bytes <= bound;
        }
        return largeBytes == 0
                || (loadedBytes + bytes <= bound
                        && largeBytes + bytes <= SubmissionSize.largeBound(bound));
    }

    /**
     * Returns by how much a single large submission exceeds the memory for large ones.
     *
     * @return the memory, in bytes, which is not taken from the other submissions
     */
    private long excessBytes() {
        long bound = SubmissionSize.largeBound(context.settings.openWorkBytes());
        return Math.max(0, largeBytes - bound);
    }

    /**
     * Returns how much of the memory for open submissions is asked for.
     *
     * @return the part that the loaded ones and those that wait to be loaded take of {@link
     *     CellSettings#openWorkBytes}, in percent
     */
    int percent() {
        return percentOf(bytes() + context.unloaded.bytes());
    }

    /**
     * Returns how much of the memory for open submissions is asked for, without large submissions
     * that wait to be loaded.
     *
     * @return the part, in percent
     */
    int ordinaryPercent() {
        return percentOf(bytes() - excessBytes() + context.unloaded.ordinaryBytes());
    }

    /**
     * Estimates the memory that the loaded submissions take now.
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
     * Returns a part of the memory for open submissions.
     *
     * @param bytes the part, in bytes
     * @return the part, in percent
     */
    private int percentOf(long bytes) {
        return (int) Math.min(Integer.MAX_VALUE, bytes * 100 / context.settings.openWorkBytes());
    }

    /**
     * Estimates the memory that a loaded submission takes now.
     *
     * @param job the submission
     * @return the memory, in bytes
     */
    private static long estimateBytes(Job job) {
        long bytes = SubmissionSize.BYTES_PER_SUBMISSION + job.entryBytes;
        for (OccurrenceRecord occurrence : job.occurrences.values()) {
            for (StepRecord step : occurrence.steps) {
                bytes +=
                        SubmissionSize.BYTES_PER_STEP
                                + step.count() / SubmissionSize.TASKS_PER_BYTE
                                + step.records.recordCount() * BYTES_PER_RECORD;
            }
        }
        return bytes;
    }
}
