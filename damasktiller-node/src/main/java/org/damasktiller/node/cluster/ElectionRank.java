package org.damasktiller.node.cluster;

import java.util.Collection;
import java.util.Comparator;
import java.util.List;

/**
 * Ranks the processes that may take a vacant cell, so that they try one after the other. Load
 * pattern: an owner dies and every process sees it at once; the first in rank is near the store and
 * in the zone of the cell, and cells are spread over the processes by a hash.
 */
final class ElectionRank {

    /** Prevents instantiation. */
    private ElectionRank() {}

    /**
     * Returns the place of a process in the order for a cell.
     *
     * @param cell the cell
     * @param zone the zone of the cell, empty if it spans all
     * @param nodes the living processes
     * @param node the VM to rank
     * @return the place from 0; the number of processes if the VM is not among them
     */
    static int of(String cell, String zone, Collection<NodeRecord> nodes, String node) {
        Comparator<NodeRecord> order =
                Comparator.<NodeRecord, Boolean>comparing(
                                record -> !zone.isEmpty() && !record.zone().equals(zone))
                        .thenComparing(record -> !record.near())
                        .thenComparingInt(record -> (cell + '/' + record.node()).hashCode());
        List<String> ranked = nodes.stream().sorted(order).map(NodeRecord::node).toList();
        int place = ranked.indexOf(node);
        return place < 0 ? ranked.size() : place;
    }
}
