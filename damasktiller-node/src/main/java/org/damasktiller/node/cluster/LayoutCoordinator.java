package org.damasktiller.node.cluster;

import org.damasktiller.scheduler.cell.CellKeys;
import org.damasktiller.scheduler.cell.CellLayout;
import org.damasktiller.scheduler.cell.LayoutRecord;
import org.damasktiller.scheduler.cell.StoredValueCodec;
import org.damasktiller.scheduler.port.CommitReply;
import org.damasktiller.scheduler.port.StoreItem;
import org.damasktiller.scheduler.port.StoreResult;
import org.damasktiller.scheduler.port.StoreTransaction;
import org.jspecify.annotations.Nullable;

/**
 * Provides the layout of the cells that all processes share. The first process that needs one
 * stores it, on condition that there is none; all others adopt it. Two processes with different
 * layouts would send requests to the same workers for different cells.
 */
final class LayoutCoordinator {

    /**
     * How long no registration must have been lost before a layout is proposed, in milliseconds:
     * longer than a process takes to notice that the store has ended its lease, and to register
     * again.
     */
    static final long REGISTRATION_MILLIS = 3_000;

    /** The dependencies of the cluster's components. */
    private final ClusterContext context;

    /** What the layout depends on. */
    private final LayoutSettings settings;

    /** The layout, or null while none is known. */
    private @Nullable CellLayout layout;

    /** Whether a proposal has been sent and has no result yet. */
    private boolean proposalPending;

    /**
     * Creates a coordinator without a layout.
     *
     * @param context the dependencies of the cluster's components
     * @param settings what the layout depends on
     */
    LayoutCoordinator(ClusterContext context, LayoutSettings settings) {
        this.context = context;
        this.settings = settings;
    }

    /**
     * Returns the layout that all processes share.
     *
     * @return the layout, or null while this process does not know one
     */
    @Nullable CellLayout layout() {
        LayoutRecord record = layout == null ? context.view().layout() : null;
        if (record != null) {
            layout = new CellLayout(settings.regionByZone(), record.maxZonesPerCell());
            context.log().log("layout.in-force", "maxZonesPerCell", record.maxZonesPerCell());
        }
        return layout;
    }

    /**
     * Proposes a layout if all published keys have been read and none of them is a layout. It holds
     * for good and follows from the registered processes, so that it waits if some of them may
     * register again.
     */
    void proposeIfAbsent() {
        if (proposalPending || !context.view().isSynced() || layout() != null) {
            return;
        }
        if (context.view().withoutLossMillis() < REGISTRATION_MILLIS) {
            return;
        }
        proposalPending = true;
        LayoutRecord record =
                new LayoutRecord(LayoutPolicy.maxZonesPerCell(settings, context.view().nodes()));
        context.store()
                .commit(
                        new StoreTransaction()
                                .expectRevision(CellKeys.LAYOUT, StoreItem.ABSENT)
                                .put(CellKeys.LAYOUT, StoredValueCodec.encode(record)),
                        result -> onProposalResult(record, result));
    }

    /**
     * Handles the result of a proposal. The layout itself comes with the published keys.
     *
     * @param record the proposal
     * @param result the store's response
     */
    private void onProposalResult(LayoutRecord record, StoreResult<CommitReply> result) {
        proposalPending = false;
        context.log().log(
                "layout.proposed",
                "maxZonesPerCell",
                record.maxZonesPerCell(),
                "nodes",
                context.view().nodes().size(),
                "status",
                result.status());
    }
}
