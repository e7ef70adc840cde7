package org.damasktiller.node.cluster;

import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import java.util.Set;

/**
 * Ranks the processes that may take over a vacant cell, so that they try one after the other: when
 * an owner dies, all processes see it at the same time and would otherwise all write to the store.
 * Processes in the zones of the cell rank first, then VMs with more processor time, since the work
 * of an owner grows with the workers of its cell, then processes near the store, then those that
 * started last; a hash of cell and VM orders the rest and spreads the cells over the processes.
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
     * @param cell the cell
     * @param zones the availability zones of the cell
     * @param nodes the registered processes
     * @param node the name of the VM to rank
     * @return the rank, 0 for the first; the number of processes if the VM is not among them
     */
    static int of(String cell, Set<String> zones, Collection<NodeRecord> nodes, String node) {
        Comparator<NodeRecord> order =
                Comparator.<NodeRecord, Boolean>comparing(record -> !zones.contains(record.zone()))
                        .thenComparingInt(record -> -record.cpuMillicores())
                        .thenComparing(record -> !record.near())
                        .thenComparingLong(
                                record -> -(record.startedUnixMillis() / START_PERIOD_MILLIS))
                        .thenComparingInt(record -> (cell + '/' + record.node()).hashCode());
        List<String> ranked = nodes.stream().sorted(order).map(NodeRecord::node).toList();
        int rank = ranked.indexOf(node);
        return rank < 0 ? ranked.size() : rank;
    }
}
