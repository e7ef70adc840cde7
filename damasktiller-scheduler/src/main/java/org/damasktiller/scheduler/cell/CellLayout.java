package org.damasktiller.scheduler.cell;

import java.util.Collection;
import java.util.Set;
import java.util.TreeSet;

/**
 * Divides the workers of each service into cells and maps submissions to them. In a deployment with
 * few zones, each service is one cell, so that one owner sees all free capacity of the service. In
 * a deployment with more zones, each service has one cell per zone.
 */
public final class CellLayout {

    /**
     * The most zones that one cell spans: the largest deployment that one small VM has been run
     * with.
     */
    private static final int MAX_ZONES_PER_CELL = 3;

    /** Separates the service from the zone in the name of a cell. */
    private static final char ZONE_SEPARATOR = '@';

    /** The names of the deployment's zones. */
    private final Set<String> zones;

    /**
     * Creates a layout.
     *
     * @param zones the names of the deployment's zones
     */
    public CellLayout(Collection<String> zones) {
        this.zones = new TreeSet<>(zones);
    }

    /**
     * Returns the cell that the workers of a service in a zone belong to, and that takes the
     * submissions of callers in that zone.
     *
     * @param service the name of the service
     * @param zone the name of the zone
     * @return the name of the cell
     */
    public String cellOf(String service, String zone) {
        return zones.size() <= MAX_ZONES_PER_CELL ? service : service + ZONE_SEPARATOR + zone;
    }

    /**
     * Returns all cells of a service.
     *
     * @param service the name of the service
     * @return the names of the cells
     */
    public Set<String> cellsOf(String service) {
        Set<String> cells = new TreeSet<>();
        for (String zone : zones) {
            cells.add(cellOf(service, zone));
        }
        return cells;
    }

    /**
     * Returns the zone to which a cell is limited.
     *
     * @param cell the name of the cell
     * @return the name of the zone, empty if the cell spans all zones
     */
    public String zoneOf(String cell) {
        int separatorIndex = cell.indexOf(ZONE_SEPARATOR);
        return separatorIndex < 0 ? "" : cell.substring(separatorIndex + 1);
    }
}
