package org.damasktiller.scheduler.cell;

/**
 * Computes ends of leases on a worker's clock, and by when they are over on the owner's.
 *
 * <p>A lease never ends later than a reading of the worker's clock that is older than the last
 * proof of ownership plus the authority time. A successor, whose term begins after that proof,
 * therefore has to wait no longer than the authority time from its own beginning, however long its
 * predecessor was paused between computing a lease and sending it.
 */
final class LeaseClock {

    /** The slowest rate of a worker's clock, from the platform's pages. */
    private static final double SLOWEST_RATE = 0.98;

    /** What is added to a time to wait, in milliseconds, against rounding. */
    private static final long MARGIN_MILLIS = 50;

    /** The settings. */
    private final CellSettings settings;

    /**
     * Creates a computation.
     *
     * @param settings the settings
     */
    LeaseClock(CellSettings settings) {
        this.settings = settings;
    }

    /**
     * Computes the end of a lease to give now.
     *
     * @param worker the worker, whose clock has been read and proven
     * @param nowMillis the time, in milliseconds
     * @return the end on the worker's clock, in milliseconds
     */
    long leaseEnd(WorkerRecord worker, long nowMillis) {
        long wanted = earliestClock(worker, nowMillis) + settings.workerLeaseMillis();
        return Math.min(wanted, worker.provenClockMillis + settings.authorityMillis());
    }

    /**
     * Notes that a lease is being given.
     *
     * @param worker the worker
     * @param leaseEnd the end on the worker's clock, in milliseconds
     * @param nowMillis the time, in milliseconds
     */
    void noteGrant(WorkerRecord worker, long leaseEnd, long nowMillis) {
        long span = Math.max(0, leaseEnd - earliestClock(worker, nowMillis));
        worker.leasesExpireAtMillis =
                Math.max(worker.leasesExpireAtMillis, nowMillis + stretched(span));
    }

    /**
     * Computes by when the leases of former owners are over.
     *
     * @param termBeganMillis when this owner learnt of its term, in milliseconds
     * @return the time, in milliseconds
     */
    long formerLeasesOver(long termBeganMillis) {
        return termBeganMillis + stretched(settings.authorityMillis());
    }

    /**
     * Computes the lowest value that the worker's clock can have.
     *
     * @param worker the worker
     * @param nowMillis the time, in milliseconds
     * @return the value, in milliseconds
     */
    private static long earliestClock(WorkerRecord worker, long nowMillis) {
        long elapsed = Math.max(0, nowMillis - worker.clockReadAtMillis);
        return worker.clockMillis + (long) (elapsed * SLOWEST_RATE);
    }

    /**
     * Stretches a span of the worker's clock to the longest span of the owner's.
     *
     * @param span the span, in milliseconds
     * @return the longest span, in milliseconds
     */
    private static long stretched(long span) {
        return (long) Math.ceil(span / SLOWEST_RATE) + MARGIN_MILLIS;
    }
}
