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
     * Grants a lease that is about to be sent, so that the worker counts as leased until it has
     * certainly expired on the boot that the owner knows.
     *
     * @param worker the worker; an ownership check must have succeeded after a reading of its clock
     * @param nowMillis the current time on the owner's clock, in milliseconds
     * @return the lease
     */
    LeaseGrant grant(WorkerRecord worker, long nowMillis) {
        long lowestClockMillis = lowestWorkerClock(worker, nowMillis);
        long endMillis =
                Math.min(
                        lowestClockMillis + settings.workerLeaseMillis(),
                        worker.verifiedClockMillis + settings.ownershipValidityMillis());
        LeaseGrant grant = new LeaseGrant(endMillis, lowestClockMillis, nowMillis);
        extend(worker, nowMillis, Math.max(0, endMillis - lowestClockMillis));
        worker.unconfirmedLeases.add(grant);
        return grant;
    }

    /**
     * Takes note of the answer to the call with a lease. If another boot has received it, the end
     * is a time on a clock that was further ahead, and the boot keeps what it runs for as long as
     * workers may.
     *
     * @param worker the worker
     * @param grant the lease
     * @param clockMillis the worker's clock in the answer, in milliseconds, negative if not
     *     reported
     * @param nowMillis the current time on the owner's clock, in milliseconds
     * @return whether another boot has received the lease
     */
    boolean onAnswered(WorkerRecord worker, LeaseGrant grant, long clockMillis, long nowMillis) {
        if (clockMillis < 0) {
            return false;
        }
        worker.unconfirmedLeases.remove(grant);
        if (!grant.isAnsweredByOtherBoot(clockMillis)) {
            return false;
        }
        extend(worker, nowMillis, settings.maximumWorkerLeaseMillis());
        onRestarted(worker);
        return true;
    }

    /**
     * Takes note that a worker has another boot. The leases without an answer may yet reach it, or
     * have done so.
     *
     * @param worker the worker
     */
    void onRestarted(WorkerRecord worker) {
        extend(
                worker,
                worker.unconfirmedLeases.lastSentAtMillis() + UnconfirmedLeases.MAX_DELAY_MILLIS,
                settings.maximumWorkerLeaseMillis());
    }

    /**
     * Counts a lease that begins at some time.
     *
     * @param worker the worker
     * @param fromMillis the latest beginning on the owner's clock, in milliseconds
     * @param workerMillis the duration on the worker's clock, in milliseconds
     */
    private static void extend(WorkerRecord worker, long fromMillis, long workerMillis) {
        worker.leasesExpireAtMillis =
                Math.max(worker.leasesExpireAtMillis, fromMillis + toOwnerMillis(workerMillis));
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
