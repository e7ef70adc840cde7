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

    /** The shared state of the cell's owner. */
    private final CellContext context;

    /** The value that the owner key must have. */
    private final byte[] expected;

    /** Called after each successful check. */
    private final Runnable proven;

    /** The store revision of the last successful check; newer changes may belong to a successor. */
    private long provenRevision;

    /** Whether a read is in flight. */
    private boolean reading;

    /** Whether another check was requested while a read was in flight. */
    private boolean again;

    /** Whether the last read failed, so that further failures are not logged. */
    private boolean failing;

    /**
     * Creates a verifier that has not started.
     *
     * @param context the shared state of the cell's owner
     * @param proven called after each successful check
     */
    OwnershipVerifier(CellContext context, Runnable proven) {
        this.context = context;
        this.expected = StoredValueCodec.write(context.term.owner());
        this.proven = proven;
    }

    /** Checks the ownership now and at regular intervals from then on. */
    void start() {
        renew();
        context.schedule(context.settings.confirmIntervalMillis(), this::start);
    }

    /** Checks the ownership now, or again as soon as the check in flight has ended. */
    void renew() {
        if (context.over) {
            return;
        }
        if (reading) {
            again = true;
            return;
        }
        reading = true;
        for (WorkerRecord worker : context.allWorkers()) {
            worker.candidateClockMillis = worker.clockMillis;
        }
        context.store.read(CellKeys.owner(context.cell), this::onReading);
    }

    /**
     * Returns whether a revision is no newer than the last successful check, so that no successor
     * can have written it.
     *
     * @param revision the revision of the store
     * @return true if a check at this revision or a later one has succeeded
     */
    boolean covers(long revision) {
        return revision <= provenRevision;
    }

    /**
     * Handles a reading of the owner key.
     *
     * @param result the reading
     */
    private void onReading(StoreResult<StoreReading> result) {
        reading = false;
        if (context.over) {
            return;
        }
        if (result.status() == StoreStatus.OK) {
            judge(result.require());
        } else if (result.status() == StoreStatus.ABSENT) {
            context.end("the owner key no longer exists");
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
        if (again && !context.over) {
            again = false;
            renew();
        }
    }

    /**
     * Ends the term if another process owns the cell; otherwise records the successful check, from
     * which new leases are computed.
     *
     * @param reading the reading of the owner key
     */
    private void judge(StoreReading reading) {
        StoreItem item = reading.item();
        if (item == null || !Arrays.equals(item.value(), expected)) {
            context.end("another process owns the cell");
            return;
        }
        failing = false;
        provenRevision =
                Math.max(provenRevision, Math.max(reading.storeRevision(), item.revision()));
        for (WorkerRecord worker : context.allWorkers()) {
            worker.provenClockMillis =
                    Math.max(worker.provenClockMillis, worker.candidateClockMillis);
        }
        proven.run();
    }
}
