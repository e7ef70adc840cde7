package org.damasktiller.scheduler.cell;

import java.util.Arrays;
import org.damasktiller.scheduler.port.StoreItem;
import org.damasktiller.scheduler.port.StoreReading;
import org.damasktiller.scheduler.port.StoreResult;
import org.damasktiller.scheduler.port.StoreStatus;

/**
 * Proves again and again, by a linearizable read of the owner's key, that this node owns the cell.
 * Renewing a lease proves nothing: the key may have been taken away meanwhile.
 */
final class OwnershipProof {

    /** The shared part. */
    private final CellCore core;

    /** The stored bytes of the owner's key. */
    private final byte[] expected;

    /** Run after each proof. */
    private final Runnable proven;

    /** The revision of the store at the last proof; what is newer may belong to a successor. */
    private long provenRevision;

    /** Whether a read is on its way. */
    private boolean reading;

    /** Whether another read is wanted after the one on its way. */
    private boolean again;

    /** Whether the last read failed. */
    private boolean failing;

    /**
     * Creates a proof that has not begun.
     *
     * @param core the shared part
     * @param proven run after each proof
     */
    OwnershipProof(CellCore core, Runnable proven) {
        this.core = core;
        this.expected = StoredValues.write(core.term.owner());
        this.proven = proven;
    }

    /** Begins to prove the ownership at regular times. */
    void start() {
        renew();
        core.schedule(core.settings.confirmIntervalMillis(), this::start);
    }

    /** Proves the ownership now, or once more after the proof on its way. */
    void renew() {
        if (core.over) {
            return;
        }
        if (reading) {
            again = true;
            return;
        }
        reading = true;
        for (WorkerRecord worker : core.allWorkers()) {
            worker.candidateClockMillis = worker.clockMillis;
        }
        core.store.read(CellKeys.owner(core.cell), this::onReading);
    }

    /**
     * Tells whether something stored at a revision is known to belong to this term.
     *
     * @param revision the revision
     * @return whether it is
     */
    boolean covers(long revision) {
        return revision <= provenRevision;
    }

    /**
     * Takes a reading of the owner's key.
     *
     * @param result the reading
     */
    private void onReading(StoreResult<StoreReading> result) {
        reading = false;
        if (core.over) {
            return;
        }
        if (result.status() == StoreStatus.OK) {
            judge(result.require());
        } else if (result.status() == StoreStatus.ABSENT) {
            core.end("the owner's key is gone");
        } else if (!failing) {
            failing = true;
            core.log.log(
                    "owner.unproven",
                    "cell",
                    core.cell,
                    "status",
                    result.status(),
                    "reason",
                    result.reason());
        }
        if (again && !core.over) {
            again = false;
            renew();
        }
    }

    /**
     * Judges the owner's key.
     *
     * @param reading the reading
     */
    private void judge(StoreReading reading) {
        StoreItem item = reading.item();
        if (item == null || !Arrays.equals(item.value(), expected)) {
            core.end("another process owns the cell");
            return;
        }
        failing = false;
        provenRevision =
                Math.max(provenRevision, Math.max(reading.storeRevision(), item.revision()));
        for (WorkerRecord worker : core.allWorkers()) {
            worker.provenClockMillis =
                    Math.max(worker.provenClockMillis, worker.candidateClockMillis);
        }
        proven.run();
    }
}
