package org.damasktiller.node.cluster;

import java.util.Collection;
import java.util.List;
import java.util.Map;

/**
 * The processes that may own cells, and how many cells each of them owns.
 *
 * @param nodes the registered processes
 * @param cellsByNode the number of cells that a VM owns, by its name; VMs without a cell may be
 *     left out
 */
record Candidates(Collection<NodeRecord> nodes, Map<String, Integer> cellsByNode) {

    /** Copies the collections. */
    Candidates {
        nodes = List.copyOf(nodes);
        cellsByNode = Map.copyOf(cellsByNode);
    }

    /**
     * Returns how many cells a process owns.
     *
     * @param record the registration of the process
     * @return the number of cells
     */
    int cellsOf(NodeRecord record) {
        return cellsByNode.getOrDefault(record.node(), 0);
    }

    /**
     * Returns how much processor time a process would have for each of its cells if it took one
     * more.
     *
     * @param record the registration of the process
     * @return the time, in thousandths of a core
     */
    double millicoresPerCell(NodeRecord record) {
        return (double) millicores(record) / (cellsOf(record) + 1);
    }

    /**
     * Returns the processor time of a process.
     *
     * @param record the registration of the process
     * @return the time, in thousandths of a core; 1, the least, if it is not known
     */
    static long millicores(NodeRecord record) {
        return Math.max(1, record.cpuMillicores());
    }
}
