package org.damasktiller.scheduler.cell;

/**
 * Begins the occurrences of repeated submissions that are due. What has begun takes memory, so that
 * no more begin than a pass can start; the others wait in the order of their times.
 *
 * <p>Load pattern: repeated submissions that are handed in late, with thousands of occurrences due.
 */
final class DueOccurrences {

    /** The most occurrences of a submission that have begun and of which nothing has started. */
    private static final int MAX_FRESH = TaskScheduler.MAX_STARTS_PER_PASS;

    /** The part of the memory for open submissions that occurrences may take, as a divisor. */
    private static final long OPEN_WORK_DIVISOR = 4;

    /** The shared state of the cell's owner. */
    private final CellContext context;

    /** The number of steps of the occurrences that have begun, over all repeated submissions. */
    private long stepCount;

    /**
     * Creates a decision for the repeated submissions of a cell.
     *
     * @param context the shared state of the cell's owner
     */
    DueOccurrences(CellContext context) {
        this.context = context;
    }

    /** Counts the steps of the occurrences that have begun. */
    void beginPass() {
        stepCount = 0;
        for (Job job : context.jobs.values()) {
            if (job.accepted.submission().scheduled()) {
                stepCount += (long) job.occurrences.size() * stepsPerOccurrence(job);
            }
        }
    }

    /**
     * Begins occurrences of a submission that are due: one if none is open, and as many as may
     * start soon while those of the cell take little memory.
     *
     * @param job the submission; one that is not repeated stays as it is
     * @param unixMillis the latest due time of an occurrence to begin, in milliseconds since 1970
     */
    void begin(Job job, long unixMillis) {
        int next = job.nextDueOccurrence(unixMillis);
        if (next == Job.NO_OCCURRENCE) {
            return;
        }
        long fresh = job.occurrences.values().stream().filter(OccurrenceRecord::isFresh).count();
        while (next != Job.NO_OCCURRENCE && fresh < MAX_FRESH && hasRoom(job)) {
            job.beginOccurrence(next);
            stepCount += stepsPerOccurrence(job);
            fresh++;
            next = job.nextDueOccurrence(unixMillis);
        }
    }

    /**
     * Returns whether one more occurrence of a submission may begin.
     *
     * @param job the submission
     * @return whether none of it is open, or those of the cell take little memory
     */
    private boolean hasRoom(Job job) {
        long maxSteps =
                context.settings.openWorkBytes()
                        / OPEN_WORK_DIVISOR
                        / SubmissionSize.BYTES_PER_STEP;
        return stepCount + stepsPerOccurrence(job) <= maxSteps
                || job.occurrences.values().stream().allMatch(OccurrenceRecord::isDone);
    }

    /**
     * Returns the number of steps of an occurrence.
     *
     * @param job the submission
     * @return the number of its steps
     */
    private static int stepsPerOccurrence(Job job) {
        return job.accepted.submission().steps().size();
    }
}
