package org.damasktiller.scheduler.order;

/**
 * Estimates how long ago a submission was accepted.
 *
 * <p>Load pattern: owners follow each other while submissions wait. If each owner counted from when
 * it first read a submission, work that is late would compete with work that can be on time.
 */
public final class SubmissionAge {

    /**
     * The highest age that is plausible, in milliseconds. A higher one shows that one of the two
     * clocks is wrong.
     */
    private static final long MAX_PLAUSIBLE_MILLIS = 600_000;

    /** Prevents instantiation. */
    private SubmissionAge() {}

    /**
     * Estimates the age of a submission from the clocks of the VM that accepted it and of the owner
     * of its cell.
     *
     * @param acceptedUnixMillis when it was accepted, in milliseconds since 1970
     * @param nowUnixMillis the current time, in milliseconds since 1970
     * @return the age, in milliseconds; 0 if it can't be told
     */
    public static long estimateMillis(long acceptedUnixMillis, long nowUnixMillis) {
        long ageMillis = nowUnixMillis - acceptedUnixMillis;
        return ageMillis < 0 || ageMillis > MAX_PLAUSIBLE_MILLIS ? 0 : ageMillis;
    }
}
