package org.damasktiller.peer;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import org.damasktiller.identity.RegionName;
import org.damasktiller.identity.VmId;
import org.damasktiller.identity.ZoneName;
import org.jspecify.annotations.Nullable;

/** Keeps the latest status of each other zone and whom to address there. */
final class ZoneDirectory {

    /** The regions of the zones. */
    private final ZoneMap zoneMap;

    /** The latest statuses, with the time at which each would have had age zero. */
    private final TreeMap<ZoneName, Heard> heard = new TreeMap<>();

    /** Addresses from settings and the platform's list. */
    private final Map<ZoneName, Set<VmId>> hints = new HashMap<>();

    /** How many addresses were tried in vain, by zone. */
    private final Map<ZoneName, Integer> tries = new HashMap<>();

    /**
     * Creates a directory that knows no status.
     *
     * @param zoneMap the regions of the zones
     */
    ZoneDirectory(ZoneMap zoneMap) {
        this.zoneMap = zoneMap;
    }

    /**
     * Adds an address of a zone.
     *
     * @param zone the zone
     * @param id the address
     */
    void addHint(ZoneName zone, VmId id) {
        hints.computeIfAbsent(zone, key -> new TreeSet<>()).add(id);
    }

    /**
     * Removes an address of a zone.
     *
     * @param zone the zone
     * @param id the address
     */
    void removeHint(ZoneName zone, VmId id) {
        hints.getOrDefault(zone, Set.of()).remove(id);
    }

    /**
     * Takes in a status if it is fresher than the one held; a zone not in the settings is ignored.
     *
     * @param status the status
     * @param nowMillis the time, in milliseconds
     */
    void hear(ZoneStatus status, long nowMillis) {
        long saidAtMillis = nowMillis - status.ageMillis();
        Heard held = heard.get(status.zone());
        boolean known = zoneMap.region(status.zone()).isPresent();
        if (known && (held == null || saidAtMillis > held.saidAtMillis)) {
            heard.put(status.zone(), new Heard(status.aged(-status.ageMillis()), saidAtMillis));
            tries.remove(status.zone());
        }
    }

    /**
     * Returns the latest status of a zone.
     *
     * @param zone the zone
     * @param nowMillis the time, in milliseconds
     * @return the status with its age, or null if none was heard
     */
    @Nullable ZoneStatus status(ZoneName zone, long nowMillis) {
        Heard held = heard.get(zone);
        return held == null ? null : held.status.aged(nowMillis - held.saidAtMillis);
    }

    /**
     * Lists the latest statuses.
     *
     * @param nowMillis the time, in milliseconds
     * @return the statuses with their ages
     */
    List<ZoneStatus> statuses(long nowMillis) {
        List<ZoneStatus> statuses = new ArrayList<>();
        for (Heard held : heard.values()) {
            statuses.add(held.status.aged(nowMillis - held.saidAtMillis));
        }
        return statuses;
    }

    /**
     * Tells whether a zone was heard of lately.
     *
     * @param zone the zone
     * @param nowMillis the time, in milliseconds
     * @return whether its status is not too old
     */
    boolean fresh(ZoneName zone, long nowMillis) {
        ZoneStatus status = status(zone, nowMillis);
        return status != null && !status.cutOff();
    }

    /**
     * Chooses whom to address in a zone: its watcher, or each known address in turn while nothing
     * is heard of the zone.
     *
     * @param zone the zone
     * @param nowMillis the time, in milliseconds
     * @return the address, or null if none is known
     */
    @Nullable VmId contact(ZoneName zone, long nowMillis) {
        ZoneStatus status = status(zone, nowMillis);
        if (status != null && !stale(status) && !status.contacts().isEmpty()) {
            return status.contacts().get(0);
        }
        Set<VmId> known = new TreeSet<>(hints.getOrDefault(zone, Set.of()));
        if (status != null) {
            known.addAll(status.contacts());
        }
        if (known.isEmpty()) {
            return null;
        }
        int turn = tries.merge(zone, 1, Integer::sum);
        return List.copyOf(known).get(turn % known.size());
    }

    /**
     * Chooses whom to address in a region: the watcher of its first zone that was heard of lately.
     *
     * @param region the region
     * @param nowMillis the time, in milliseconds
     * @return the address, or null if none is known
     */
    @Nullable VmId relay(RegionName region, long nowMillis) {
        List<ZoneName> zones = zoneMap.zonesOf(region);
        for (ZoneName zone : zones) {
            ZoneStatus status = status(zone, nowMillis);
            if (status != null && !stale(status)) {
                return contact(zone, nowMillis);
            }
        }
        int turn = tries.merge(zones.get(0), 1, Integer::sum);
        return contact(zones.get(turn % zones.size()), nowMillis);
    }

    /**
     * Tells whether the watcher of a zone may have changed, so that others are tried.
     *
     * @param status the status
     * @return whether it is older than a few reports
     */
    private static boolean stale(ZoneStatus status) {
        return status.ageMillis() >= ZoneStatus.CUT_OFF_AGE_MILLIS / 2;
    }

    /**
     * Holds a status with the time at which it was said.
     *
     * @param status the status, with age zero
     * @param saidAtMillis the time, in milliseconds
     */
    private record Heard(ZoneStatus status, long saidAtMillis) {}
}
