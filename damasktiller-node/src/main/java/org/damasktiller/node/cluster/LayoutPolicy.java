package org.damasktiller.node.cluster;

import java.util.Collection;
import org.damasktiller.scheduler.cell.CellLayout;

/**
 * Decides how many zones a cell spans.
 *
 * <p>Load pattern: the work of an owner grows with the workers of its cell. A VM with a fraction of
 * a core that owns the workers of all zones answers too late to keep any of them busy, and so does
 * any VM that owns thousands of workers.
 */
public final class LayoutPolicy {

    /** The configured number of zones that leaves the decision to this policy. */
    public static final int AUTOMATIC = 0;

    /** The number of zones up to which any VM can own all workers. */
    private static final int SMALL_DEPLOYMENT_ZONES = 3;

    /** The processor time from which on a VM can own the workers of many zones, in millicores. */
    private static final int STRONG_MILLICORES = 700;

    /**
     * The number of entry VMs up to which the workers of all zones can have one owner. The workers
     * of a deployment grow with its entry VMs, and the connections and the processor time of an
     * owner with its workers.
     */
    private static final int MAX_NODES_OF_ONE_CELL = 120;

    /** The number of strong VMs that large cells need, so that one can replace the other. */
    private static final int MIN_STRONG_NODES = 2;

    /** Prevents instantiation. */
    private LayoutPolicy() {}

    /**
     * Returns how many zones a cell spans.
     *
     * @param settings the zones and what the operator configured
     * @param nodes the registered processes
     * @return the number, at least 1
     */
    static int maxZonesPerCell(LayoutSettings settings, Collection<NodeRecord> nodes) {
        if (settings.configuredMaxZonesPerCell() != AUTOMATIC) {
            return settings.configuredMaxZonesPerCell();
        }
        if (settings.regionByZone().size() <= SMALL_DEPLOYMENT_ZONES) {
            return SMALL_DEPLOYMENT_ZONES;
        }
        long strongNodes = nodes.stream().filter(LayoutPolicy::isStrong).count();
        if (strongNodes < Math.min(MIN_STRONG_NODES, nodes.size())) {
            return 1;
        }
        int zones = CellLayout.DEFAULT_MAX_ZONES_PER_CELL;
        return nodes.size() <= MAX_NODES_OF_ONE_CELL
                ? zones
                : Math.max(1, zones * MAX_NODES_OF_ONE_CELL / nodes.size());
    }

    /**
     * Returns whether a VM can own the workers of many zones.
     *
     * @param node the process on the VM
     * @return whether it has enough processor time, or its processor time is not known
     */
    private static boolean isStrong(NodeRecord node) {
        return node.cpuMillicores() == 0 || node.cpuMillicores() >= STRONG_MILLICORES;
    }
}
