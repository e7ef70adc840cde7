package org.damasktiller.scheduler.cell;

/**
 * Computes when leases expire: on the worker's clock for the requests to the worker, and on the
 * owner's clock to decide when a worker has certainly stopped its runs.
 *
 * <p>A lease ends at most {@link CellSettings#ownershipValidityMillis} after a reading of the
 * worker's clock that was taken before the last successful ownership check. The term of a successor
 * begins after that check. All earlier leases have therefore expired once the same time has passed
 * since the successor's term began, however long its predecessor was paused between computing a
 * lease and sending it.
 */
final class LeaseCalculator {

    /**
     * The lowest rate of a worker's clock relative to the owner's, given by the platform's
     * documentation.
     */
    private static final double MIN_CLOCK_RATE = 0.98;

    /** Added to each waiting time against rounding, in milliseconds. */
    private static final long ROUNDING_MARGIN_MILLIS = 50;

    /** Defines how long leases last and how long an ownership check is valid. */
    private final CellSettings settings;

    /**
     * Creates a calculator.
     *
     * @param settings defines how long leases last and how long an ownership check is valid
     */
    LeaseCalculator(CellSettings settings) {
        this.settings = settings;
    }

    /**
     * Computes the end of a lease that is granted now.
     *
     * @param worker the worker; an ownership check must have succeeded after a reading of its clock
     * @param nowMillis the current time on the owner's clock, in milliseconds
     * @return the end on the worker's clock, in milliseconds
     */
    long leaseEnd(WorkerRecord worker, long nowMillis) {
        long wanted = lowestWorkerClock(worker, nowMillis) + settings.workerLeaseMillis();
        return Math.min(wanted, worker.verifiedClockMillis + settings.ownershipValidityMillis());
    }

    /**
     * Records a lease that is about to be sent, so that the worker counts as leased until it has
     * certainly expired.
     *
     * @param worker the worker
     * @param leaseEnd the end on the worker's clock, in milliseconds
     * @param nowMillis the current time on the owner's clock, in milliseconds
     */
    void recordGrant(WorkerRecord worker, long leaseEnd, long nowMillis) {
        long workerMillis = Math.max(0, leaseEnd - lowestWorkerClock(worker, nowMillis));
        worker.leasesExpireAtMillis =
                Math.max(worker.leasesExpireAtMillis, nowMillis + toOwnerMillis(workerMillis));
    }

    /**
     * Computes when all leases of previous owners have certainly expired, even on a worker with the
     * slowest clock.
     *
     * @param termStartedAtMillis when this owner learnt that it had won its term, in milliseconds
     * @return the time on the owner's clock, in milliseconds
     */
    long previousLeasesExpireAtMillis(long termStartedAtMillis) {
        return termStartedAtMillis + toOwnerMillis(settings.ownershipValidityMillis());
    }

    /**
     * Computes the lowest value that the worker's clock can show now, from its last reading.
     *
     * @param worker the worker
     * @param nowMillis the current time on the owner's clock, in milliseconds
     * @return the lowest value, in milliseconds
     */
    private static long lowestWorkerClock(WorkerRecord worker, long nowMillis) {
        long elapsed = Math.max(0, nowMillis - worker.clockReadAtMillis);
        return worker.clockMillis + (long) (elapsed * MIN_CLOCK_RATE);
    }

    /**
     * Converts a duration on a worker's clock to the longest duration on the owner's clock that it
     * can correspond to.
     *
     * @param workerMillis the duration on the worker's clock, in milliseconds
     * @return the longest duration on the owner's clock, in milliseconds
     */
    private static long toOwnerMillis(long workerMillis) {
        return (long) Math.ceil(workerMillis / MIN_CLOCK_RATE) + ROUNDING_MARGIN_MILLIS;
    }
}
