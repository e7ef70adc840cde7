package org.damasktiller.node.cluster;

import java.util.Collection;
import org.jspecify.annotations.Nullable;

/**
 * Checks at regular intervals whether this process owns a cell that another one is better placed to
 * own, and hands it over, one cell at a time.
 */
final class OwnershipBalancer {

    /**
     * The interval between checks, in milliseconds, which is also the shortest time between two
     * hand-overs of this process.
     */
    private static final long CHECK_INTERVAL_MILLIS = 1_000;

    /** The identity of this process. */
    private final NodeIdentity identity;

    /** The dependencies of the cluster's components. */
    private final ClusterContext context;

    /** The cells of this process. */
    private final OwnCells cells;

    /**
     * Creates a balancer that is not started yet.
     *
     * @param identity the identity of this process
     * @param context the dependencies of the cluster's components
     * @param cells the cells of this process
     */
    OwnershipBalancer(NodeIdentity identity, ClusterContext context, OwnCells cells) {
        this.identity = identity;
        this.context = context;
        this.cells = cells;
    }

    /** Starts the checks. */
    void start() {
        check();
        context.runtime().schedule(CHECK_INTERVAL_MILLIS, this::start);
    }

    /**
     * Hands a cell over if one should be. Does nothing while the store can't be followed, since
     * what is known of others may be out of date then, nor while a cell is without an owner, since
     * another hand-over may be under way.
     */
    private void check() {
        boolean storeFollowed =
                context.view().isCurrent()
                        && context.session().isReachable()
                        && !context.session().isFailing();
        NodeRecord owner = ownRegistration();
        if (!storeFollowed || owner == null || !cells.areAllOwned()) {
            return;
        }
        PlannedHandOver planned =
                OwnerBalance.choose(
                        owner, cells.owned(), cells.candidates(), context.view()::registeredMillis);
        if (planned != null) {
            context.log().log(
                    "owner.handover",
                    "cell",
                    planned.cell(),
                    "owned",
                    planned.owned(),
                    "share",
                    planned.share(),
                    "candidate",
                    planned.candidate().node(),
                    "age",
                    planned.termMillis(),
                    "candidateAge",
                    context.view().registeredMillis(planned.candidate()));
            cells.handOver(planned.cell());
        }
    }

    /**
     * Returns the registration of this process.
     *
     * @return the registration, or null if the process is not registered
     */
    private @Nullable NodeRecord ownRegistration() {
        Collection<NodeRecord> nodes = context.view().nodes();
        return nodes.stream()
                .filter(record -> record.process().equals(identity.process()))
                .findAny()
                .orElse(null);
    }
}
