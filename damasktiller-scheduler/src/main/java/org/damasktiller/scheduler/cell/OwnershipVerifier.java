package org.damasktiller.scheduler.cell;

import java.util.Arrays;
import org.damasktiller.scheduler.port.StoreItem;
import org.damasktiller.scheduler.port.StoreReading;
import org.damasktiller.scheduler.port.StoreResult;
import org.damasktiller.scheduler.port.StoreStatus;

/**
 * Verifies periodically, by a linearizable read of the owner key, that this process still owns the
 * cell, and ends the term if it does not. A successful renewal of the store lease would not be
 * enough: another process may have replaced or removed the key although the lease lives.
 */
final class OwnershipVerifier {

    /** The shortest time between two checks for leases that are over, in milliseconds. */
    private static final long LEASE_CHECK_INTERVAL_MILLIS = 200;

    /** The shared state of the cell's owner. */
    private final CellContext context;

    /** The value that the owner key must have. */
    private final byte[] expectedValue;

    /** Called after each successful check. */
    private final Runnable onVerified;

    /** The store revision of the last successful check; newer changes may belong to a successor. */
    private long verifiedRevision;

    /** When the last read was sent, in milliseconds. */
    private long readSentAtMillis;

    /** Whether a read is in flight. */
    private boolean readInFlight;

    /** Whether another check was requested while a read was in flight. */
    private boolean verifyAgain;

    /** Whether the last read failed, so that further failures are not logged. */
    private boolean failing;

    /**
     * Creates a verifier that has not started.
     *
     * @param context the shared state of the cell's owner
     * @param onVerified called after each successful check
     */
    OwnershipVerifier(CellContext context, Runnable onVerified) {
        this.context = context;
        this.expectedValue = StoredValueCodec.encode(context.term.owner());
        this.onVerified = onVerified;
    }

    /** Checks the ownership now and at regular intervals from then on. */
    void start() {
        context.repeat(context.settings.ownershipCheckIntervalMillis(), "ownership", this::verify);
    }

    /** Checks the ownership now, or again as soon as the check in flight has ended. */
    void verify() {
        if (context.ended) {
            return;
        }
        if (readInFlight) {
            verifyAgain = true;
            return;
        }
        readInFlight = true;
        readSentAtMillis = context.now();
        for (WorkerRecord worker : context.allWorkers()) {
            worker.candidateClockMillis = worker.clockMillis;
        }
        context.store.read(CellKeys.owner(context.cell), this::onReading);
    }

    /** Checks the ownership now unless the last check was sent a short time ago. */
    void verifySoon() {
        if (!readInFlight && context.now() - readSentAtMillis >= LEASE_CHECK_INTERVAL_MILLIS) {
            verify();
        }
    }

    /**
     * Returns whether a revision is no newer than the last successful check, so that no successor
     * can have written it.
     *
     * @param revision the revision of the store
     * @return true if a check at this revision or a later one has succeeded
     */
    boolean covers(long revision) {
        return revision <= verifiedRevision;
    }

    /**
     * Handles a reading of the owner key.
     *
     * @param result the reading
     */
    private void onReading(StoreResult<StoreReading> result) {
        readInFlight = false;
        if (context.ended) {
            return;
        }
        if (result.status() == StoreStatus.OK) {
            checkOwner(result.require());
        } else if (result.status() == StoreStatus.ABSENT) {
            context.endTerm("the owner key no longer exists");
        } else if (!failing) {
            failing = true;
            context.log.log(
                    "owner.unproven",
                    "cell",
                    context.cell,
                    "status",
                    result.status(),
                    "reason",
                    result.reason());
        }
        if (verifyAgain && !context.ended) {
            verifyAgain = false;
            verify();
        }
    }

    /**
     * Ends the term if another process owns the cell; otherwise records the successful check, from
     * which new leases are computed.
     *
     * @param reading the reading of the owner key
     */
    private void checkOwner(StoreReading reading) {
        StoreItem item = reading.item();
        if (item == null || !Arrays.equals(item.value(), expectedValue)) {
            context.endTerm("another process owns the cell");
            return;
        }
        failing = false;
        context.ownershipCheckedAtMillis = readSentAtMillis;
        verifiedRevision =
                Math.max(verifiedRevision, Math.max(reading.storeRevision(), item.revision()));
        for (WorkerRecord worker : context.allWorkers()) {
            worker.verifiedClockMillis =
                    Math.max(worker.verifiedClockMillis, worker.candidateClockMillis);
        }
        onVerified.run();
    }
}
