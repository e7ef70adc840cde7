package org.damasktiller.limit;

import com.google.common.collect.ImmutableSortedMap;
import java.util.Map;
import java.util.TreeMap;
import org.damasktiller.identity.ZoneName;

/**
 * Holds the shares of all zones in a limit, one record of the store. Only a zone itself changes its
 * share.
 *
 * @param shares the shares by zone
 */
public record LimitRecord(ImmutableSortedMap<ZoneName, ZoneShare> shares) {

    /** The record before the first share. */
    public static final LimitRecord EMPTY = new LimitRecord(ImmutableSortedMap.of());

    /**
     * Returns the share of a zone.
     *
     * @param zone the zone
     * @return the share, of nothing if the zone has none
     */
    public ZoneShare share(ZoneName zone) {
        ZoneShare share = shares.get(zone);
        return share == null ? ZoneShare.NONE : share;
    }

    /**
     * Returns the sum of all shares.
     *
     * @return how many may run in all zones together
     */
    public int granted() {
        return shares.values().stream().mapToInt(ZoneShare::granted).sum();
    }

    /**
     * Returns what the other zones want beyond their shares.
     *
     * @param zone the zone to leave out
     * @return the sum of what is missing
     */
    int missingElsewhere(ZoneName zone) {
        return shares.entrySet().stream()
                .filter(entry -> !entry.getKey().equals(zone))
                .mapToInt(
                        entry ->
                                Math.max(0, entry.getValue().wanted() - entry.getValue().granted()))
                .sum();
    }

    /**
     * Replaces the share of a zone.
     *
     * @param zone the zone
     * @param share the share
     * @return the changed record
     */
    LimitRecord with(ZoneName zone, ZoneShare share) {
        Map<ZoneName, ZoneShare> changed = new TreeMap<>(shares);
        changed.put(zone, share);
        return new LimitRecord(ImmutableSortedMap.copyOf(changed));
    }
}
