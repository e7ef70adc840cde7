package org.damasktiller.peer;

import java.util.List;
import org.damasktiller.identity.RegionName;
import org.damasktiller.identity.VmId;
import org.damasktiller.identity.ZoneName;

/**
 * Sums up one availability zone for the others.
 *
 * @param zone the zone
 * @param region its region
 * @param contacts some of its members, the watcher of the zone first
 * @param members the number of members that take part
 * @param inForceVersion the version of the table that all its members have in force, or a later one
 * @param inForceForMillis for how long it has been in force in the whole zone, in milliseconds
 * @param highestVersion the highest version that its watcher has in force
 * @param storeReachable whether its watcher reached the store lately
 * @param ageMillis how long ago the watcher said so, in milliseconds
 */
public record ZoneStatus(
        ZoneName zone,
        RegionName region,
        List<VmId> contacts,
        int members,
        long inForceVersion,
        long inForceForMillis,
        long highestVersion,
        boolean storeReachable,
        long ageMillis) {

    /** The age from which a zone counts as cut off, in milliseconds. */
    public static final long CUT_OFF_AGE_MILLIS = 6_000;

    /** Copies the list of contacts. */
    public ZoneStatus {
        contacts = List.copyOf(contacts);
    }

    /**
     * Tells whether nothing was heard of the zone for some time.
     *
     * @return whether the zone counts as cut off
     */
    public boolean cutOff() {
        return ageMillis >= CUT_OFF_AGE_MILLIS;
    }

    /**
     * Makes the status as it stands some time later.
     *
     * @param millis the time that has passed, in milliseconds
     * @return the older status
     */
    ZoneStatus aged(long millis) {
        return new ZoneStatus(
                zone,
                region,
                contacts,
                members,
                inForceVersion,
                inForceForMillis + millis,
                highestVersion,
                storeReachable,
                ageMillis + millis);
    }
}
