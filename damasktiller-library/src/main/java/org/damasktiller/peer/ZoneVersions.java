package org.damasktiller.peer;

import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import org.damasktiller.identity.VmId;

/** Tracks at the watcher of a zone which version of the table all members have in force. */
final class ZoneVersions {

    /** The version of each member. */
    private final Map<VmId, Long> versions = new HashMap<>();

    /** The version in force in the whole zone. */
    private long inForceVersion;

    /** Since when it is, in milliseconds. */
    private long sinceMillis;

    /** Creates a tracker that knows no member. */
    ZoneVersions() {}

    /**
     * Takes in the version of a member; versions do not fall.
     *
     * @param member the member
     * @param version the version that it has in force
     */
    void heard(VmId member, long version) {
        versions.merge(member, version, Math::max);
    }

    /**
     * Forgets a member, as it was restarted or is gone.
     *
     * @param member the member
     */
    void forget(VmId member) {
        versions.remove(member);
    }

    /**
     * Computes what is in force. A member that has no table yet serves nothing and does not count.
     *
     * @param members the members that take part
     * @param nowMillis the time, in milliseconds
     */
    void update(Set<VmId> members, long nowMillis) {
        versions.keySet().retainAll(members);
        long lowest =
                versions.values().stream()
                        .filter(version -> version > 0)
                        .mapToLong(Long::longValue)
                        .min()
                        .orElse(0);
        if (lowest > inForceVersion) {
            inForceVersion = lowest;
            sinceMillis = nowMillis;
        }
    }

    /**
     * Returns the version in force in the whole zone.
     *
     * @return the version, zero if there is none
     */
    long inForceVersion() {
        return inForceVersion;
    }

    /**
     * Returns since when the version is in force.
     *
     * @return the time, in milliseconds
     */
    long sinceMillis() {
        return sinceMillis;
    }
}
