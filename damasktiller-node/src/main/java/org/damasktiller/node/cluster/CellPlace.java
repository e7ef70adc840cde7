package org.damasktiller.node.cluster;

import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import org.damasktiller.scheduler.cell.CellLayout;

/**
 * A cell and where its workers are.
 *
 * @param cell the name of the cell
 * @param zones the availability zones of the cell
 * @param regionZones all availability zones of the regions that the cell is in
 */
record CellPlace(String cell, Set<String> zones, Set<String> regionZones) {

    /** Copies the sets. */
    CellPlace {
        zones = Set.copyOf(zones);
        regionZones = Set.copyOf(regionZones);
    }

    /**
     * Determines where the workers of a cell are.
     *
     * @param cell the name of the cell
     * @param layout maps zones to cells
     * @param regionByZone the region of each availability zone, by the name of the zone
     * @return the cell with its zones and the zones of its regions
     */
    static CellPlace of(String cell, CellLayout layout, Map<String, String> regionByZone) {
        Set<String> zones = layout.zonesOf(cell);
        Set<String> regionZones = new HashSet<>(zones);
        for (String zone : zones) {
            String region = regionByZone.get(zone);
            regionByZone.forEach(
                    (other, otherRegion) -> {
                        if (otherRegion.equals(region)) {
                            regionZones.add(other);
                        }
                    });
        }
        return new CellPlace(cell, zones, regionZones);
    }
}
