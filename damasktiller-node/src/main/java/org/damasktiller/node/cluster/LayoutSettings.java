package org.damasktiller.node.cluster;

import java.util.Map;

/**
 * What the layout of the cells depends on.
 *
 * @param regionByZone the region of each availability zone, by the name of the zone
 * @param configuredMaxZonesPerCell the most zones of a cell as the operator configured it, or
 *     {@link LayoutPolicy#AUTOMATIC}
 */
public record LayoutSettings(Map<String, String> regionByZone, int configuredMaxZonesPerCell) {

    /** Copies the map. */
    public LayoutSettings {
        regionByZone = Map.copyOf(regionByZone);
    }
}
