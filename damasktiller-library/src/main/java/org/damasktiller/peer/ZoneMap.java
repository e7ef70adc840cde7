package org.damasktiller.peer;

import com.google.common.collect.ImmutableSortedMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.damasktiller.identity.RegionName;
import org.damasktiller.identity.ZoneName;

/** Knows the region of each availability zone, from the settings. Immutable. */
public final class ZoneMap {

    /** The regions by zone. */
    private final ImmutableSortedMap<ZoneName, RegionName> regions;

    /**
     * Creates a map.
     *
     * @param regions the region of each zone
     */
    public ZoneMap(Map<ZoneName, RegionName> regions) {
        this.regions = ImmutableSortedMap.copyOf(regions);
    }

    /**
     * Finds the region of a zone.
     *
     * @param zone the zone
     * @return the region, or empty if the zone is not known
     */
    public Optional<RegionName> region(ZoneName zone) {
        return Optional.ofNullable(regions.get(zone));
    }

    /**
     * Lists the zones.
     *
     * @return the zones in order
     */
    public List<ZoneName> zones() {
        return regions.keySet().asList();
    }

    /**
     * Lists the zones of a region.
     *
     * @param region the region
     * @return the zones in order
     */
    public List<ZoneName> zonesOf(RegionName region) {
        return regions.entrySet().stream()
                .filter(entry -> entry.getValue().equals(region))
                .map(Map.Entry::getKey)
                .toList();
    }

    /**
     * Lists the regions but one.
     *
     * @param region the region to leave out
     * @return the other regions in order
     */
    public List<RegionName> otherRegions(RegionName region) {
        return regions.values().stream()
                .distinct()
                .filter(other -> !other.equals(region))
                .sorted()
                .toList();
    }
}
