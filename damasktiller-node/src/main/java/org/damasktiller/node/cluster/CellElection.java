package org.damasktiller.node.cluster;

import org.damasktiller.scheduler.cell.CellKeys;
import org.damasktiller.scheduler.cell.CellTerm;
import org.damasktiller.scheduler.cell.HeadRecord;
import org.damasktiller.scheduler.cell.OwnerRecord;
import org.damasktiller.scheduler.cell.StoredValueCodec;
import org.damasktiller.scheduler.port.Commit;
import org.damasktiller.scheduler.port.CommitReply;
import org.damasktiller.scheduler.port.DecisionLog;
import org.damasktiller.scheduler.port.MetadataStore;
import org.damasktiller.scheduler.port.ProcessRuntime;
import org.damasktiller.scheduler.port.StoreItem;
import org.damasktiller.scheduler.port.StoreReading;
import org.damasktiller.scheduler.port.StoreResult;
import org.damasktiller.scheduler.port.StoreStatus;

/**
 * Wins the ownership of one cell: creates the owner's key and raises the generation in the head key
 * in one transaction. A process that finds its own key left over, from before its restart or from a
 * transaction whose answer was lost, takes the cell with a new generation.
 */
public final class CellElection {

    /** The time between the attempts of processes that follow in rank, in milliseconds. */
    private static final long RANK_MILLIS = 200;

    /** The cell. */
    private final String cell;

    /** The zone of the cell, empty if it spans all. */
    private final String zone;

    /** This process. */
    private final NodeIdentity identity;

    /** The store. */
    private final MetadataStore store;

    /** The lease under which the owner's key is written. */
    private final StoreSession session;

    /** What the others publish. */
    private final ClusterView view;

    /** The clock. */
    private final ProcessRuntime runtime;

    /** The log. */
    private final DecisionLog log;

    /** Told when a term begins. */
    private final Winner winner;

    /** Whether an attempt is on its way. */
    private boolean trying;

    /** Whether this process owns the cell. */
    private boolean owning;

    /** Since when the cell has been seen without an owner, in milliseconds, or -1. */
    private long vacantSinceMillis = -1;

    /**
     * Creates an election that is not held yet.
     *
     * @param cell the cell
     * @param zone the zone of the cell, empty if it spans all
     * @param identity this process
     * @param cluster the shared parts
     * @param winner told when a term begins
     */
    CellElection(
            String cell, String zone, NodeIdentity identity, ClusterParts cluster, Winner winner) {
        this.cell = cell;
        this.zone = zone;
        this.identity = identity;
        this.store = cluster.store();
        this.session = cluster.session();
        this.view = cluster.view();
        this.runtime = cluster.runtime();
        this.log = cluster.log();
        this.winner = winner;
    }

    /** Tries to win the cell if it has no owner and it is this process's turn. */
    void consider() {
        if (owning || trying || !view.synced() || session.lease() == StoreSession.NONE) {
            return;
        }
        ClusterView.Owner owner = view.owner(cell);
        boolean own = owner != null && owner.record().node().equals(identity.node());
        if (owner != null && !own) {
            vacantSinceMillis = -1;
            return;
        }
        long now = runtime.nowMillis();
        if (vacantSinceMillis < 0) {
            vacantSinceMillis = now;
        }
        int rank = own ? 0 : ElectionRank.of(cell, zone, view.nodes(), identity.node());
        if (now - vacantSinceMillis >= rank * RANK_MILLIS) {
            trying = true;
            long revision = owner == null ? StoreItem.ABSENT : owner.revision();
            store.read(CellKeys.head(cell), result -> onHead(result, revision));
        }
    }

    /** Notes that the term has ended. */
    void lost() {
        owning = false;
        vacantSinceMillis = -1;
    }

    /**
     * Gives the cell up so that another process can take it at once.
     *
     * @param ownerRevision the revision of the owner's key
     */
    void resign(long ownerRevision) {
        Commit commit =
                new Commit()
                        .expect(CellKeys.owner(cell), ownerRevision)
                        .remove(CellKeys.owner(cell));
        store.commit(
                commit,
                result -> log.log("owner.resigned", "cell", cell, "status", result.status()));
    }

    /**
     * Takes the head and tries to win.
     *
     * @param result the reading
     * @param ownerRevision the revision that the owner's key must have
     */
    private void onHead(StoreResult<StoreReading> result, long ownerRevision) {
        boolean absent = result.status() == StoreStatus.ABSENT;
        if (result.status() != StoreStatus.OK && !absent) {
            trying = false;
            return;
        }
        StoreItem item = absent ? null : result.require().item();
        HeadRecord head =
                item == null ? null : StoredValueCodec.decode(item.value(), HeadRecord.class);
        long generation = head == null ? 1 : head.generation() + 1;
        long headRevision = item == null ? StoreItem.ABSENT : item.revision();
        OwnerRecord record = new OwnerRecord(identity.node(), identity.process(), generation);
        Commit commit =
                new Commit()
                        .expect(CellKeys.owner(cell), ownerRevision)
                        .expect(CellKeys.head(cell), headRevision)
                        .put(CellKeys.owner(cell), StoredValueCodec.encode(record), session.lease())
                        .put(
                                CellKeys.head(cell),
                                StoredValueCodec.encode(
                                        new HeadRecord(generation, 0, identity.node())));
        store.commit(commit, reply -> onCommitted(reply, record));
    }

    /**
     * Takes the answer to an attempt.
     *
     * @param result the answer
     * @param record the value of the owner's key
     */
    private void onCommitted(StoreResult<CommitReply> result, OwnerRecord record) {
        trying = false;
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
            owning = true;
            vacantSinceMillis = -1;
            winner.won(
                    new CellTerm(
                            record.generation(),
                            record,
                            result.require().revision(),
                            runtime.nowMillis()));
        }
    }

    /** Told when a term begins. */
    interface Winner {

        /**
         * Begins a term.
         *
         * @param term the term
         */
        void won(CellTerm term);
    }
}
