package org.damasktiller.node.cluster;

import java.util.function.Supplier;
import org.damasktiller.scheduler.cell.CellKeys;
import org.damasktiller.scheduler.cell.CellTerm;
import org.damasktiller.scheduler.cell.HeadRecord;
import org.damasktiller.scheduler.cell.OwnerRecord;
import org.damasktiller.scheduler.cell.StoredValueCodec;
import org.damasktiller.scheduler.port.CommitReply;
import org.damasktiller.scheduler.port.DecisionLog;
import org.damasktiller.scheduler.port.MetadataStore;
import org.damasktiller.scheduler.port.ProcessRuntime;
import org.damasktiller.scheduler.port.StoreItem;
import org.damasktiller.scheduler.port.StoreReading;
import org.damasktiller.scheduler.port.StoreResult;
import org.damasktiller.scheduler.port.StoreStatus;
import org.damasktiller.scheduler.port.StoreTransaction;

/**
 * Takes part in the election of the owner of one cell. An attempt is one transaction that writes
 * the owner key, under the lease of the process, and increments the generation in the head key. A
 * process that finds an owner key of its own VM, left by the process before a restart or by a
 * transaction whose response was lost, takes over the cell with a new generation.
 */
public final class CellElection {

    /**
     * An attempt is delayed by this time multiplied by the rank of the process, in milliseconds.
     */
    private static final long RANK_DELAY_MILLIS = 200;

    /**
     * How long this process does not try to win a cell that it has handed over, in milliseconds:
     * the default lease of the store, within which a better-placed process takes over.
     */
    private static final long HAND_OVER_PAUSE_MILLIS = 2_000;

    /** The name of the cell. */
    private final String cell;

    /** The cell and where it is. */
    private final CellPlace place;

    /** The identity of this process. */
    private final NodeIdentity identity;

    /** The store. */
    private final MetadataStore store;

    /** Holds the lease under which the owner key is written. */
    private final StoreSession session;

    /** Knows the owner of each cell and the registered processes. */
    private final ClusterView view;

    /** The clock. */
    private final ProcessRuntime runtime;

    /** The log. */
    private final DecisionLog log;

    /** Returns the registered processes, and how many cells each of them owns. */
    private final Supplier<Candidates> candidates;

    /** Notified when this process becomes the owner. */
    private final TermListener termListener;

    /** Whether an attempt has been started and has no result yet. */
    private boolean attemptPending;

    /** Whether this process owns the cell. */
    private boolean ownsCell;

    /**
     * When this process first saw the cell as vacant after its last owner, on the monotonic clock,
     * in milliseconds; -1 while it has not.
     */
    private long vacantSinceMillis = -1;

    /** When this process may try again, on the monotonic clock, in milliseconds. */
    private long pausedUntilMillis;

    /**
     * Creates an election; no attempt is made before {@link #attemptIfVacant} is called.
     *
     * @param place the cell and where it is
     * @param identity the identity of this process
     * @param context the shared dependencies
     * @param candidates returns the registered processes, and how many cells each of them owns
     * @param termListener notified when this process becomes the owner
     */
    CellElection(
            CellPlace place,
            NodeIdentity identity,
            ClusterContext context,
            Supplier<Candidates> candidates,
            TermListener termListener) {
        this.cell = place.cell();
        this.place = place;
        this.identity = identity;
        this.store = context.store();
        this.session = context.session();
        this.view = context.view();
        this.runtime = context.runtime();
        this.log = context.log();
        this.candidates = candidates;
        this.termListener = termListener;
    }

    /**
     * Returns the cell and where it is.
     *
     * @return the cell
     */
    CellPlace place() {
        return place;
    }

    /**
     * Tells whether this process owns the cell or has sent an attempt to win it.
     *
     * @return whether the cell counts as one of this process
     */
    boolean isOwnedOrTried() {
        return ownsCell || attemptPending;
    }

    /** Lets other processes win the cell, which this process is about to hand over, first. */
    void pause() {
        pausedUntilMillis = runtime.nowMillis() + HAND_OVER_PAUSE_MILLIS;
    }

    /**
     * Starts an attempt if the cell has no owner, or an owner key of this VM, and has been vacant
     * long enough for the rank of this process. Called at regular intervals and after each change
     * in the view.
     */
    void attemptIfVacant() {
        if (isOwnedOrTried() || !mayTry()) {
            return;
        }
        ClusterView.Owner owner = view.owner(cell);
        boolean ownedByThisNode = owner != null && owner.record().node().equals(identity.node());
        if (owner != null && !ownedByThisNode) {
            vacantSinceMillis = -1;
            return;
        }
        long now = runtime.nowMillis();
        if (vacantSinceMillis < 0) {
            vacantSinceMillis = now;
        }
        int rank = ownedByThisNode ? 0 : ElectionRank.of(place, candidates.get(), identity.node());
        if (now - vacantSinceMillis >= rank * RANK_DELAY_MILLIS) {
            attemptPending = true;
            long revision = owner == null ? StoreItem.ABSENT : owner.revision();
            store.read(CellKeys.head(cell), result -> onHeadRead(result, revision));
        }
    }

    /**
     * Tells whether an attempt is possible whoever owns the cell.
     *
     * @return whether the published keys are known, the process has a lease, and it has not handed
     *     the cell over just now
     */
    private boolean mayTry() {
        return view.isSynced()
                && runtime.nowMillis() >= pausedUntilMillis
                && session.leaseId() != StoreSession.NO_LEASE;
    }

    /** Records that the term of this process has ended, so that new attempts are possible. */
    void onTermEnded() {
        ownsCell = false;
        vacantSinceMillis = -1;
    }

    /**
     * Removes the owner key, so that another process can take over before the lease expires.
     *
     * @param ownerRevision the revision of the owner key; if it has changed, nothing is removed
     */
    void resign(long ownerRevision) {
        StoreTransaction commit =
                new StoreTransaction()
                        .expectRevision(CellKeys.owner(cell), ownerRevision)
                        .remove(CellKeys.owner(cell));
        store.commit(
                commit,
                result -> log.log("owner.resigned", "cell", cell, "status", result.status()));
    }

    /**
     * Sends the transaction of an attempt, on the condition that neither the owner key nor the head
     * key has changed.
     *
     * @param result the result of reading the head key
     * @param ownerRevision the expected revision of the owner key, ABSENT if there must be none
     */
    private void onHeadRead(StoreResult<StoreReading> result, long ownerRevision) {
        boolean absent = result.status() == StoreStatus.ABSENT;
        if (result.status() != StoreStatus.OK && !absent) {
            attemptPending = false;
            return;
        }
        StoreItem item = absent ? null : result.require().item();
        HeadRecord head =
                item == null ? null : StoredValueCodec.decode(item.value(), HeadRecord.class);
        long generation = head == null ? 1 : head.generation() + 1;
        long headRevision = item == null ? StoreItem.ABSENT : item.revision();
        OwnerRecord record = new OwnerRecord(identity.node(), identity.process(), generation);
        StoreTransaction commit =
                new StoreTransaction()
                        .expectRevision(CellKeys.owner(cell), ownerRevision)
                        .expectRevision(CellKeys.head(cell), headRevision)
                        .put(
                                CellKeys.owner(cell),
                                StoredValueCodec.encode(record),
                                session.leaseId())
                        .put(
                                CellKeys.head(cell),
                                StoredValueCodec.encode(
                                        new HeadRecord(generation, 0, identity.node())));
        store.commit(commit, reply -> onAttemptResult(reply, record));
    }

    /**
     * Handles the result of an attempt and starts the term if it succeeded.
     *
     * @param result the store's response
     * @param record the value of the owner key in the transaction
     */
    private void onAttemptResult(StoreResult<CommitReply> result, OwnerRecord record) {
        attemptPending = false;
        log.log(
                "election.tried",
                "cell",
                cell,
                "generation",
                record.generation(),
                "status",
                result.status(),
                "reason",
                result.reason());
        if (result.status() == StoreStatus.OK) {
            ownsCell = true;
            vacantSinceMillis = -1;
            termListener.onTermStarted(
                    new CellTerm(
                            record.generation(),
                            record,
                            result.require().revision(),
                            runtime.nowMillis()));
        }
    }

    /** Receives a notification when this process becomes the owner of the cell. */
    interface TermListener {

        /**
         * Called when an attempt has succeeded.
         *
         * @param term the term that begins
         */
        void onTermStarted(CellTerm term);
    }
}
