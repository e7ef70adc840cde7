package org.damasktiller.node.cluster;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import java.util.function.ToLongFunction;
import org.jspecify.annotations.Nullable;

/**
 * Decides which cell a process hands over because another one is better placed to own it.
 *
 * <p>Load pattern: after all VMs lost power, the first one that is back takes every cell, and would
 * keep them while the others own nothing.
 *
 * <p>A series of hand-overs always ends: each one reduces the sum, over all processes with n cells,
 * of (1 + 2 + ... + n) divided by the processor time, since the candidate adds less to that sum
 * than the owner takes away.
 */
final class OwnerBalance {

    /**
     * How long a process owns a cell at least before it hands it over, in milliseconds. Each
     * hand-over begins a term, so that this is also the shortest time between two of a cell.
     */
    static final long MIN_TERM_MILLIS = 3_000;

    /**
     * How long a process owns a cell at least before it hands it over although previous owners are
     * not excluded yet, in milliseconds. An owner with time to spare excludes them sooner, unless
     * workers do not answer; what a successor has to wait for counts from the same moment.
     */
    static final long MIN_UNSETTLED_TERM_MILLIS = 5_000;

    /**
     * How long a process must have been registered before a cell is handed over to it, in
     * milliseconds: the default lease of the store, within which one that has died disappears.
     */
    static final long MIN_REGISTRATION_MILLIS = 2_000;

    /**
     * The fewest cells of a process that hands one over: an interruption for the last is no gain.
     */
    private static final int MIN_CELLS = 2;

    /** Prevents instantiation. */
    private OwnerBalance() {}

    /**
     * Chooses a cell to hand over now: the farthest one for which another process is better placed.
     * If its term is too short yet, nearer ones stay as well, since they should be the last.
     *
     * @param owner the registration of this process
     * @param cells the cells that this process owns
     * @param candidates all registered processes, and how many cells each of them owns
     * @param registeredMillis returns how long a process has been registered, in milliseconds
     * @return the cell and the process that ranks first for it, or null if all cells stay
     */
    static @Nullable PlannedHandOver choose(
            NodeRecord owner,
            Collection<OwnedCell> cells,
            Candidates candidates,
            ToLongFunction<NodeRecord> registeredMillis) {
        List<NodeRecord> others = new ArrayList<>(candidates.nodes());
        others.removeIf(record -> record.node().equals(owner.node()));
        Candidates otherCandidates = new Candidates(others, candidates.cellsByNode());
        Comparator<OwnedCell> farthestFirst =
                Comparator.<OwnedCell, Boolean>comparing(
                                cell -> cell.place().regionZones().contains(owner.zone()))
                        .thenComparing(cell -> cell.place().zones().contains(owner.zone()))
                        .thenComparing(cell -> cell.place().cell());
        for (OwnedCell cell : cells.stream().sorted(farthestFirst).toList()) {
            NodeRecord candidate =
                    ElectionRank.order(cell.place(), otherCandidates).stream()
                            .findFirst()
                            .orElse(null);
            if (candidate != null
                    && candidate.canOwn()
                    && registeredMillis.applyAsLong(candidate) >= MIN_REGISTRATION_MILLIS
                    && isBetterPlaced(candidate, owner, cell.place(), candidates)) {
                return isDue(cell) ? plan(cell, candidate, owner, candidates) : null;
            }
        }
        return null;
    }

    /**
     * Tells whether the term of a cell has lasted long enough.
     *
     * @param cell the cell
     * @return whether the cell may be handed over
     */
    private static boolean isDue(OwnedCell cell) {
        return cell.termMillis() >= (cell.settled() ? MIN_TERM_MILLIS : MIN_UNSETTLED_TERM_MILLIS);
    }

    /**
     * Describes a hand-over.
     *
     * @param cell the cell
     * @param candidate the process that ranks first for the cell
     * @param owner the registration of this process
     * @param candidates all registered processes, and how many cells each of them owns
     * @return the hand-over
     */
    private static PlannedHandOver plan(
            OwnedCell cell, NodeRecord candidate, NodeRecord owner, Candidates candidates) {
        return new PlannedHandOver(
                cell.place().cell(),
                candidate,
                candidates.cellsOf(owner),
                share(owner, candidates),
                cell.termMillis());
    }

    /**
     * Tells whether a candidate should own a cell instead of its owner.
     *
     * @param candidate the candidate
     * @param owner the owner
     * @param place the cell and where it is
     * @param candidates how many cells each process owns
     * @return whether the candidate owns fewer cells, would have more processor time for each than
     *     the owner has, and is in the region of the cell if the owner is
     */
    private static boolean isBetterPlaced(
            NodeRecord candidate, NodeRecord owner, CellPlace place, Candidates candidates) {
        long ownerCells = candidates.cellsOf(owner);
        long candidateCells = candidates.cellsOf(candidate);
        boolean leavesRegion =
                place.regionZones().contains(owner.zone())
                        && !place.regionZones().contains(candidate.zone());
        return ownerCells >= MIN_CELLS
                && candidateCells < ownerCells
                && !leavesRegion
                && Candidates.millicores(candidate) * ownerCells
                        > Candidates.millicores(owner) * (candidateCells + 1);
    }

    /**
     * Returns how many cells a process would own if each had cells in proportion to its processor
     * time.
     *
     * @param owner the process
     * @param candidates all registered processes, and how many cells each of them owns
     * @return the number of cells, rounded up
     */
    private static int share(NodeRecord owner, Candidates candidates) {
        long cells = candidates.cellsByNode().values().stream().mapToLong(Integer::longValue).sum();
        long millicores = candidates.nodes().stream().mapToLong(Candidates::millicores).sum();
        return (int) Math.ceil((double) cells * Candidates.millicores(owner) / millicores);
    }
}
