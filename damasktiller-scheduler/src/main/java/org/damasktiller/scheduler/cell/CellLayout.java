package org.damasktiller.scheduler.cell;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;

/**
 * Divides the workers of each service into cells and maps zones to them. All zones form one cell if
 * a single VM can own their workers; otherwise the zones of each region are divided into groups of
 * consecutive names, each with a cell of its own.
 *
 * <p>Load pattern: callers gather in one zone while workers of others are idle, and steps have more
 * tasks than a zone has workers. The owner of a cell sees the free capacity of all its zones, and
 * learns from all their workers which tasks harm each other.
 */
public final class CellLayout {

    /**
     * The default for the most zones of a cell. One VM of 1.5 cores can own the workers of six
     * zones with 71 workers each.
     */
    public static final int DEFAULT_MAX_ZONES_PER_CELL = 6;

    /** Separates the service from the first zone in the name of a cell that spans some zones. */
    private static final char ZONE_SEPARATOR = '@';

    /**
     * The zones of each cell, by the suffix of its name: empty for a single cell, else the
     * separator and the first zone.
     */
    private final Map<String, Set<String>> zonesBySuffix = new TreeMap<>();

    /** The suffix of the name of the cell that a zone belongs to, by the name of the zone. */
    private final Map<String, String> suffixByZone = new TreeMap<>();

    /**
     * Creates a layout.
     *
     * @param regionByZone the region of each of the deployment's zones
     * @param maxZonesPerCell the most zones that a cell spans, at least 1
     * @throws IllegalArgumentException if maxZonesPerCell is below 1
     */
    public CellLayout(Map<String, String> regionByZone, int maxZonesPerCell) {
        if (maxZonesPerCell < 1) {
            throw new IllegalArgumentException("a cell needs at least one zone");
        }
        if (regionByZone.size() <= maxZonesPerCell) {
            addCell("", regionByZone.keySet());
            return;
        }
        Map<String, List<String>> zonesByRegion = new TreeMap<>();
        new TreeMap<>(regionByZone)
                .forEach(
                        (zone, region) ->
                                zonesByRegion
                                        .computeIfAbsent(region, key -> new ArrayList<>())
                                        .add(zone));
        for (List<String> zones : zonesByRegion.values()) {
            for (int first = 0; first < zones.size(); first += maxZonesPerCell) {
                List<String> group =
                        zones.subList(first, Math.min(zones.size(), first + maxZonesPerCell));
                addCell(ZONE_SEPARATOR + group.get(0), group);
            }
        }
    }

    /**
     * Returns the cell that the workers of a service in a zone belong to, and that takes the
     * submissions of callers in that zone.
     *
     * @param service the name of the service
     * @param zone the name of the zone
     * @return the name of the cell; a cell without an owner for an unknown zone of a deployment
     *     with several cells
     */
    public String cellOf(String service, String zone) {
        String unknown = zonesBySuffix.size() == 1 ? "" : ZONE_SEPARATOR + zone;
        return service + suffixByZone.getOrDefault(zone, unknown);
    }

    /**
     * Returns all cells of a service.
     *
     * @param service the name of the service
     * @return the names of the cells
     */
    public Set<String> cellsOf(String service) {
        Set<String> cells = new TreeSet<>();
        zonesBySuffix.keySet().forEach(suffix -> cells.add(service + suffix));
        return cells;
    }

    /**
     * Returns the other cells of a cell's service.
     *
     * @param cell the name of the cell
     * @return the names of the cells, empty if the service has a single cell
     */
    public Set<String> siblingsOf(String cell) {
        int separatorIndex = cell.indexOf(ZONE_SEPARATOR);
        if (separatorIndex < 0) {
            return Set.of();
        }
        Set<String> siblings = cellsOf(cell.substring(0, separatorIndex));
        siblings.remove(cell);
        return siblings;
    }

    /**
     * Returns the zones that a cell spans.
     *
     * @param cell the name of the cell
     * @return the names of the zones, empty if the cell is not one of this layout
     */
    public Set<String> zonesOf(String cell) {
        int separatorIndex = cell.indexOf(ZONE_SEPARATOR);
        String suffix = separatorIndex < 0 ? "" : cell.substring(separatorIndex);
        return zonesBySuffix.getOrDefault(suffix, Set.of());
    }

    /**
     * Adds a cell.
     *
     * @param suffix the suffix of the names of the cell
     * @param zones the zones that it spans
     */
    private void addCell(String suffix, Collection<String> zones) {
        zonesBySuffix.put(suffix, new TreeSet<>(zones));
        zones.forEach(zone -> suffixByZone.put(zone, suffix));
    }
}
