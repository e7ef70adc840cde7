package org.damasktiller.scheduler.cell;

/**
 * Tells a worker that fails everything from submissions that fail everywhere. Load pattern: some
 * workers fail all that they start while a few submissions can never be done; a worker is suspect
 * when runs of two different submissions failed there with no run done in between.
 */
public final class WorkerConduct {

    /** How many submissions must have failed in a row: one may be at fault itself. */
    private static final int SUSPECT_SUBMISSIONS = 2;

    /** For how long a suspect worker is left alone at first, in milliseconds. */
    private static final long FIRST_PENALTY_MILLIS = 2_000;

    /** For how long a suspect worker is left alone at most, in milliseconds. */
    private static final long LONGEST_PENALTY_MILLIS = 8_000;

    /** The submission that failed last, empty for none. */
    private String lastFailed = "";

    /** How many different submissions failed in a row. */
    private int failedInRow;

    /** The penalty of the next suspicion, in milliseconds. */
    private long penaltyMillis = FIRST_PENALTY_MILLIS;

    /** Until when the worker is left alone, in milliseconds. */
    private long suspectUntilMillis;

    /** Creates a record without observations. */
    WorkerConduct() {}

    /** Notes a run that was done. */
    void done() {
        lastFailed = "";
        failedInRow = 0;
        penaltyMillis = FIRST_PENALTY_MILLIS;
        suspectUntilMillis = 0;
    }

    /**
     * Notes a run that failed.
     *
     * @param submission the submission
     * @param nowMillis the time, in milliseconds
     * @return whether the worker has become suspect
     */
    boolean failed(String submission, long nowMillis) {
        if (!submission.equals(lastFailed)) {
            failedInRow++;
            lastFailed = submission;
        }
        if (failedInRow < SUSPECT_SUBMISSIONS || nowMillis < suspectUntilMillis) {
            return false;
        }
        suspectUntilMillis = nowMillis + penaltyMillis;
        penaltyMillis = Math.min(LONGEST_PENALTY_MILLIS, penaltyMillis * 2);
        return true;
    }

    /**
     * Tells whether the worker is left alone.
     *
     * @param nowMillis the time, in milliseconds
     * @return whether it is
     */
    boolean suspect(long nowMillis) {
        return nowMillis < suspectUntilMillis;
    }

    /**
     * Tells whether the worker may get one task at a time only, to see whether it works again.
     *
     * @return whether it may
     */
    boolean onProbation() {
        return failedInRow >= SUSPECT_SUBMISSIONS;
    }
}
