package org.damasktiller.peer;

import org.damasktiller.identity.RegionName;
import org.damasktiller.identity.VmId;
import org.damasktiller.identity.ZoneName;
import org.jspecify.annotations.Nullable;

/**
 * Holds where a member is.
 *
 * @param self its address
 * @param zone its zone
 * @param region its region
 * @param zoneMap the regions of all zones
 * @param storeRegion the region of the store, or null if it is not known
 */
public record SpreadSettings(
        VmId self,
        ZoneName zone,
        RegionName region,
        ZoneMap zoneMap,
        @Nullable RegionName storeRegion) {}
