package org.damasktiller.node.cluster;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Supplier;
import org.damasktiller.scheduler.cell.CellOwner;
import org.damasktiller.scheduler.cell.CellTerm;
import org.jspecify.annotations.Nullable;

/**
 * The elections that this process takes part in, and the cells that it owns. Hands cells over in
 * order, when the process leaves the cluster or another one is better placed.
 */
final class OwnCells {

    /**
     * How long a registered process that can't own a cell is still waited for in an election, in
     * milliseconds: one that has just started reads the manifest in that time.
     */
    private static final long READY_GRACE_MILLIS = 2_000;

    /** The identity of this process. */
    private final NodeIdentity identity;

    /** The dependencies of the cluster's components. */
    private final ClusterContext context;

    /** The elections of all cells of the current and earlier manifests, by the cell's name. */
    private final Map<String, CellElection> elections = new HashMap<>();

    /** The owners of the cells that this process has won, by the cell's name. */
    private final Map<String, CellOwner> owners = new HashMap<>();

    /** The terms of the cells that this process has won, by the cell's name. */
    private final Map<String, CellTerm> terms = new HashMap<>();

    /** Whether the process is leaving the cluster. */
    private boolean leaving;

    /**
     * Creates an object without elections.
     *
     * @param identity the identity of this process
     * @param context the dependencies of the cluster's components
     */
    OwnCells(NodeIdentity identity, ClusterContext context) {
        this.identity = identity;
        this.context = context;
    }

    /**
     * Adds the election of a cell if there is none yet.
     *
     * @param cell the cell's name
     * @param factory creates the election
     */
    void addElection(String cell, Supplier<CellElection> factory) {
        elections.computeIfAbsent(cell, key -> factory.get());
    }

    /** Tries to win vacant cells. */
    void attemptElections() {
        elections.values().forEach(CellElection::attemptIfVacant);
    }

    /**
     * Starts the owner of a cell that this process has won.
     *
     * @param cell the cell's name
     * @param term the term that begins
     * @param owner the owner
     */
    void begin(String cell, CellTerm term, CellOwner owner) {
        owners.put(cell, owner);
        terms.put(cell, term);
        owner.start();
        // The process may have begun to leave while the attempt was pending.
        if (leaving) {
            leave(cell);
        }
    }

    /**
     * Removes the owner of a cell whose term has ended, for whatever reason, and allows new
     * attempts to win the cell.
     *
     * @param cell the cell's name
     */
    void end(String cell) {
        owners.remove(cell);
        terms.remove(cell);
        CellElection election = elections.get(cell);
        if (election != null) {
            election.onTermEnded();
        }
    }

    /** Hands over all cells, and each one that an attempt under way still wins. */
    void leave() {
        leaving = true;
        List.copyOf(owners.keySet()).forEach(this::leave);
    }

    /**
     * Tells whether the process is leaving the cluster.
     *
     * @return whether {@link #leave()} was called
     */
    boolean isLeaving() {
        return leaving;
    }

    /**
     * Returns the owner of a cell.
     *
     * @param cell the cell's name
     * @return the owner, or null if this process does not own the cell
     */
    @Nullable CellOwner owner(String cell) {
        return owners.get(cell);
    }

    /**
     * Returns the owners of the cells of this process.
     *
     * @return a live view
     */
    Collection<CellOwner> owners() {
        return owners.values();
    }

    /**
     * Tells whether each cell has an owner, as far as this process knows.
     *
     * @return whether no cell is vacant or being handed over; false if no cell is known or the
     *     process is leaving the cluster
     */
    boolean areAllOwned() {
        return !leaving
                && !elections.isEmpty()
                && elections.keySet().stream().allMatch(this::isOwned);
    }

    /**
     * Returns the cells that this process owns.
     *
     * @return the cells
     */
    List<OwnedCell> owned() {
        long now = context.runtime().nowMillis();
        List<OwnedCell> cells = new ArrayList<>();
        owners.forEach(
                (cell, owner) -> {
                    CellTerm term = terms.get(cell);
                    CellElection election = elections.get(cell);
                    if (term != null && election != null) {
                        cells.add(
                                new OwnedCell(
                                        election.place(),
                                        owner.isSettled(),
                                        now - term.startedAtMillis()));
                    }
                });
        return cells;
    }

    /**
     * Returns the processes that may own cells, and how many each of them owns. Those that have had
     * no manifest for a while are left out. A cell that this process tries to win counts as its
     * own, so that it does not try to win all vacant cells at once while others are there.
     *
     * @return the processes
     */
    Candidates candidates() {
        Map<String, Integer> cellsByNode = context.view().cellsByNode();
        long own = elections.values().stream().filter(CellElection::isOwnedOrTried).count();
        cellsByNode.put(identity.node(), (int) own);
        List<NodeRecord> nodes = new ArrayList<>(context.view().nodes());
        nodes.removeIf(
                record ->
                        !record.canOwn()
                                && context.view().registeredMillis(record) >= READY_GRACE_MILLIS);
        return new Candidates(nodes, cellsByNode);
    }

    /**
     * Ends the term of a cell in order because another process is better placed to own it.
     *
     * @param cell the cell's name
     */
    void handOver(String cell) {
        handOver(cell, "another process is better placed to own the cell");
    }

    /**
     * Hands over a cell because the process is leaving.
     *
     * @param cell the cell's name
     */
    private void leave(String cell) {
        handOver(cell, "the process is leaving the cluster");
    }

    /**
     * Ends the term of a cell in order and removes its owner key.
     *
     * @param cell the cell's name
     * @param reason why the term ends, for the log
     */
    private void handOver(String cell, String reason) {
        CellOwner owner = owners.get(cell);
        CellTerm term = terms.get(cell);
        CellElection election = elections.get(cell);
        if (owner != null && term != null && election != null) {
            election.pause();
            // One transaction wrote the owner key and the head key, so that both had this revision
            // when the term began.
            owner.handOver(reason, () -> election.resign(term.headRevision()));
        }
    }

    /**
     * Tells whether a cell has an owner. The owner key of a cell that this process has handed over
     * remains until the store has removed it.
     *
     * @param cell the cell's name
     * @return whether this or another process owns the cell
     */
    private boolean isOwned(String cell) {
        ClusterView.Owner owner = context.view().owner(cell);
        return owners.containsKey(cell)
                || (owner != null && !owner.record().node().equals(identity.node()));
    }
}
