package org.damasktiller.scheduler.cell;

import java.util.Collection;
import java.util.Set;
import java.util.TreeSet;

/**
 * Divides the workers of a service into cells, and says which cell takes a submission. Few zones
 * make one cell a service, so that one owner sees all of its room; many zones make one a zone.
 */
public final class CellLayout {

    /** Up to how many zones a service is one cell: the size that one small VM has been run with. */
    private static final int MOST_ZONES_TOGETHER = 3;

    /** What separates the service from the zone in the name of a cell. */
    private static final char SEPARATOR = '@';

    /** The zones of the deployment. */
    private final Set<String> zones;

    /**
     * Creates a layout.
     *
     * @param zones the zones of the deployment
     */
    public CellLayout(Collection<String> zones) {
        this.zones = new TreeSet<>(zones);
    }

    /**
     * Returns the cell of a service's workers or callers in a zone.
     *
     * @param service the service
     * @param zone the zone
     * @return the name of the cell
     */
    public String cellOf(String service, String zone) {
        return zones.size() <= MOST_ZONES_TOGETHER ? service : service + SEPARATOR + zone;
    }

    /**
     * Returns all cells of a service.
     *
     * @param service the service
     * @return their names
     */
    public Set<String> cellsOf(String service) {
        Set<String> cells = new TreeSet<>();
        for (String zone : zones) {
            cells.add(cellOf(service, zone));
        }
        return cells;
    }

    /**
     * Returns the zone of a cell.
     *
     * @param cell the name of the cell
     * @return the zone, empty if the cell spans all zones
     */
    public String zoneOf(String cell) {
        int at = cell.indexOf(SEPARATOR);
        return at < 0 ? "" : cell.substring(at + 1);
    }
}
