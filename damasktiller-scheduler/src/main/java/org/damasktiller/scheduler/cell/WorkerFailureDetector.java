package org.damasktiller.scheduler.cell;

/**
 * Detects a worker on which runs fail because of the worker rather than of their submissions.
 *
 * <p>Load pattern: some workers fail every run, while a few submissions fail on every worker. A
 * worker becomes suspect when runs of two different submissions fail on it with no successful run
 * in between.
 */
public final class WorkerFailureDetector {

    /**
     * The number of submissions that must fail in a row. A single one may be the cause of its
     * failures.
     */
    private static final int MIN_FAILED_SUBMISSIONS = 2;

    /**
     * How long a worker stays suspect, in milliseconds. The time doubles with each further
     * suspicion.
     */
    private static final long INITIAL_PENALTY_MILLIS = 2_000;

    /** The maximum time for which a worker stays suspect, in milliseconds. */
    private static final long MAX_PENALTY_MILLIS = 8_000;

    /** The identifier of the submission that failed last, empty for none. */
    private String lastFailedSubmission = "";

    /**
     * The number of failures since the last successful run, where consecutive failures of the same
     * submission count once.
     */
    private int consecutiveFailedSubmissions;

    /** How long the worker stays suspect if it becomes so again, in milliseconds. */
    private long penaltyMillis = INITIAL_PENALTY_MILLIS;

    /** Until when the worker is suspect, in milliseconds. */
    private long suspectUntilMillis;

    /** Creates a detector without observations. */
    WorkerFailureDetector() {}

    /** Records a successful run, which clears the suspicion. */
    void recordSuccess() {
        lastFailedSubmission = "";
        consecutiveFailedSubmissions = 0;
        penaltyMillis = INITIAL_PENALTY_MILLIS;
        suspectUntilMillis = 0;
    }

    /**
     * Records a failed run.
     *
     * @param submission the identifier of the submission of the run
     * @param nowMillis the current time, in milliseconds
     * @return whether the worker has become suspect with this failure
     */
    boolean recordFailure(String submission, long nowMillis) {
        if (!submission.equals(lastFailedSubmission)) {
            consecutiveFailedSubmissions++;
            lastFailedSubmission = submission;
        }
        if (consecutiveFailedSubmissions < MIN_FAILED_SUBMISSIONS
                || nowMillis < suspectUntilMillis) {
            return false;
        }
        suspectUntilMillis = nowMillis + penaltyMillis;
        penaltyMillis = Math.min(MAX_PENALTY_MILLIS, penaltyMillis * 2);
        return true;
    }

    /**
     * Returns whether the worker is suspect, so that it gets only starts for which no other worker
     * was found for some time.
     *
     * @param nowMillis the current time, in milliseconds
     * @return whether it is suspect
     */
    boolean isSuspect(long nowMillis) {
        return nowMillis < suspectUntilMillis;
    }

    /**
     * Returns whether the worker may run only one task at a time that has not shown whether it
     * fails, because no run has succeeded since the worker became suspect.
     *
     * @return whether it is on probation
     */
    boolean isOnProbation() {
        return consecutiveFailedSubmissions >= MIN_FAILED_SUBMISSIONS;
    }
}
