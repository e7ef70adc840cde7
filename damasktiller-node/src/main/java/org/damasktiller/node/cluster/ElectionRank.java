package org.damasktiller.node.cluster;

import java.util.Comparator;
import java.util.List;

/**
 * Ranks the processes that may take over a vacant cell, so that they try one after the other: when
 * an owner dies, all processes see it at the same time and would otherwise all write to the store.
 *
 * <p>Processes in the region of the cell rank first. Among them those that own no cell rank before
 * those that own some, since an owner with too many cells answers its workers late; a process that
 * would have more processor time for each of its cells than any that owns none ranks with these.
 * Among those, processes in the zones of the cell come first: a call within the region costs little
 * compared with a share of a processor, so that the zone does not outweigh the cells that a process
 * owns already. Then VMs with more processor time for each cell, since the work of an owner grows
 * with the workers of its cells, then processes near the store, then those that started last; a
 * hash of cell and VM orders the rest and spreads the cells over the processes.
 *
 * <p>Load pattern: all processes are restarted one after the other. One that has been restarted
 * remains the owner until the end, while any other one hands the cell over again.
 */
final class ElectionRank {

    /**
     * The length of the periods to which the starts of processes are rounded, in milliseconds;
     * processes that start at about the same time are not distinguished.
     */
    private static final long START_PERIOD_MILLIS = 5_000;

    /** Prevents instantiation. */
    private ElectionRank() {}

    /**
     * Returns the rank of a process for a cell.
     *
     * @param place the cell and where it is
     * @param candidates the registered processes
     * @param node the name of the VM to rank
     * @return the rank, 0 for the first; the number of processes if the VM is not among them
     */
    static int of(CellPlace place, Candidates candidates, String node) {
        List<String> ranked = order(place, candidates).stream().map(NodeRecord::node).toList();
        int rank = ranked.indexOf(node);
        return rank < 0 ? ranked.size() : rank;
    }

    /**
     * Returns the processes in the order in which they try to take over a cell.
     *
     * @param place the cell and where it is
     * @param candidates the registered processes
     * @return the processes, the first one first
     */
    static List<NodeRecord> order(CellPlace place, Candidates candidates) {
        double strongestIdleMillicores =
                candidates.nodes().stream()
                        .filter(record -> place.regionZones().contains(record.zone()))
                        .filter(record -> candidates.cellsOf(record) == 0)
                        .mapToDouble(candidates::millicoresPerCell)
                        .max()
                        .orElse(Double.POSITIVE_INFINITY);
        Comparator<NodeRecord> order =
                Comparator.<NodeRecord, Boolean>comparing(
                                record -> !place.regionZones().contains(record.zone()))
                        .thenComparing(
                                record ->
                                        preference(
                                                place, candidates, record, strongestIdleMillicores))
                        .thenComparingDouble(record -> -candidates.millicoresPerCell(record))
                        .thenComparing(record -> !place.zones().contains(record.zone()))
                        .thenComparing(record -> !record.near())
                        .thenComparingLong(
                                record -> -(record.startedUnixMillis() / START_PERIOD_MILLIS))
                        .thenComparingInt(
                                record -> (place.cell() + '/' + record.node()).hashCode());
        return candidates.nodes().stream().sorted(order).toList();
    }

    /**
     * Divides the processes into those that can take a cell and are in its zones, those that can
     * and are elsewhere, and those that own cells and so are taken only if there is no other one.
     *
     * @param place the cell and where it is
     * @param candidates the registered processes
     * @param record the registration of the process
     * @param strongestIdleMillicores the processor time of the strongest process in the region that
     *     owns nothing, in thousandths of a core; infinite if there is none
     * @return the class
     */
    private static Preference preference(
            CellPlace place,
            Candidates candidates,
            NodeRecord record,
            double strongestIdleMillicores) {
        boolean free =
                candidates.cellsOf(record) == 0
                        || candidates.millicoresPerCell(record) > strongestIdleMillicores;
        if (!free) {
            return Preference.LOADED;
        }
        return place.zones().contains(record.zone()) ? Preference.IN_ZONE : Preference.ELSEWHERE;
    }

    /** How well a process is placed for a cell, the best first. */
    private enum Preference {
        /** Owns nothing, or is strong enough for one more cell, and is in a zone of the cell. */
        IN_ZONE,
        /** Owns nothing, or is strong enough for one more cell, and is in another zone. */
        ELSEWHERE,
        /** Owns cells, while others own none or are no stronger. */
        LOADED
    }
}
