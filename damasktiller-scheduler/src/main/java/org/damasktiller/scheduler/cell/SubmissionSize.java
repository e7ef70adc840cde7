package org.damasktiller.scheduler.cell;

import org.damasktiller.scheduler.model.StepSpec;
import org.damasktiller.scheduler.model.Submission;

/**
 * Estimates the memory that a submission takes of the owner of its cell, before any of its tasks
 * has begun. The estimate is an upper one: docs/CAPACITY.md has the measured figures.
 */
public final class SubmissionSize {

    /** What a step of an occurrence that has begun takes without its tasks, in bytes. */
    static final long BYTES_PER_STEP = 700;

    /** What a submission takes beside its steps and the bytes of its record, in bytes. */
    static final long BYTES_PER_SUBMISSION = 1_000;

    /** The number of tasks without records that take a byte, for the pages of their step. */
    static final long TASKS_PER_BYTE = 16;

    /** The part of the memory for open submissions from which on one is large, as a divisor. */
    private static final long LARGE_DIVISOR = 64;

    /** The part of the memory for open submissions that large ones may take, in quarters. */
    private static final long LARGE_QUARTERS = 3;

    /** The number of quarters of a whole. */
    private static final long QUARTERS = 4;

    /** Prevents instantiation. */
    private SubmissionSize() {}

    /**
     * Estimates the memory that a submission takes with one occurrence.
     *
     * @param submission the submission
     * @param entryBytes the length of its entry in the cell, in bytes
     * @return the memory, in bytes
     */
    public static long estimateBytes(Submission submission, int entryBytes) {
        long bytes = BYTES_PER_SUBMISSION + entryBytes;
        for (StepSpec step : submission.steps()) {
            bytes += BYTES_PER_STEP + step.count() / TASKS_PER_BYTE;
        }
        return bytes;
    }

    /**
     * Returns whether a submission is large. Large submissions leave some memory to the others.
     *
     * @param bytes the memory that it takes, in bytes
     * @param openWorkBytes the memory for open submissions, in bytes
     * @return whether it is large
     */
    public static boolean isLarge(long bytes, long openWorkBytes) {
        return bytes > openWorkBytes / LARGE_DIVISOR;
    }

    /**
     * Returns the memory that large submissions may take together. A single one may take more.
     *
     * @param openWorkBytes the memory for open submissions, in bytes
     * @return the memory, in bytes
     */
    public static long largeBound(long openWorkBytes) {
        return openWorkBytes / QUARTERS * LARGE_QUARTERS;
    }
}
