package org.damasktiller.scheduler.evacuation;

import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import java.util.function.LongSupplier;

/**
 * What the owner of a cell knows of the zones that operators have evacuated.
 *
 * <p>Load pattern: zones are evacuated and taken back while work waits for room, owners change and
 * the store answers late. A view that has not been confirmed for longer than an operator has to
 * wait for the effect of an evacuation allows no starts at all, since it can't tell which zones are
 * evacuated. Within one owner the view of a zone never returns to an earlier revision.
 */
public final class EvacuationView implements ZoneGuard {

    /** The age from which on the view allows no starts, in milliseconds. */
    private final long maximumAgeMillis;

    /** Tells when the store last confirmed the view, on the monotonic clock, in milliseconds. */
    private final LongSupplier confirmedAtMillis;

    /** The revision of the last known change of each zone. */
    private final Map<String, Long> revisions = new HashMap<>();

    /** The evacuated zones. */
    private final Set<String> evacuated = new TreeSet<>();

    /** The revision of the last listing, or -1 if there was none. */
    private long listedRevision = -1;

    /**
     * Creates a view that allows no starts until the evacuated zones have been listed.
     *
     * @param maximumAgeMillis the age from which on the view allows no starts, in milliseconds
     * @param confirmedAtMillis tells when the store last confirmed the view, on the monotonic
     *     clock, in milliseconds
     */
    public EvacuationView(long maximumAgeMillis, LongSupplier confirmedAtMillis) {
        this.maximumAgeMillis = maximumAgeMillis;
        this.confirmedAtMillis = confirmedAtMillis;
    }

    /**
     * Replaces the view by a listing of all evacuated zones.
     *
     * @param revisionsByZone the revision of the request for each evacuated zone
     * @param revision the revision of the store at which the zones were listed
     */
    public void onListed(Map<String, Long> revisionsByZone, long revision) {
        listedRevision = Math.max(listedRevision, revision);
        evacuated.clear();
        evacuated.addAll(revisionsByZone.keySet());
        revisions.clear();
        revisions.putAll(revisionsByZone);
    }

    /**
     * Applies a change of one zone.
     *
     * @param zone the name of the zone
     * @param isEvacuated whether the zone is evacuated from then on
     * @param revision the revision of the change
     * @return whether the change was applied; false if the view is at least as new already
     */
    public boolean onChange(String zone, boolean isEvacuated, long revision) {
        long known = revisions.getOrDefault(zone, listedRevision);
        if (revision <= known) {
            return false;
        }
        revisions.put(zone, revision);
        if (isEvacuated) {
            evacuated.add(zone);
        } else {
            evacuated.remove(zone);
        }
        return true;
    }

    /**
     * Returns the evacuated zones.
     *
     * @return a copy of the names, in alphabetical order
     */
    public Set<String> evacuatedZones() {
        return new TreeSet<>(evacuated);
    }

    /**
     * Returns since which revision a zone has been evacuated or open.
     *
     * @param zone the name of the zone
     * @return the revision of the last known change, or that of the listing if there was none since
     */
    public long sinceRevision(String zone) {
        return revisions.getOrDefault(zone, listedRevision);
    }

    /**
     * Returns whether the view is recent enough to rely on.
     *
     * @param nowMillis the current time of the monotonic clock, in milliseconds
     * @return whether the zones have been listed and the store has confirmed the view recently
     */
    public boolean isCurrent(long nowMillis) {
        return listedRevision >= 0 && nowMillis - confirmedAtMillis.getAsLong() <= maximumAgeMillis;
    }

    @Override
    public boolean allowsStarts(String zone, long nowMillis) {
        return !evacuated.contains(zone) && isCurrent(nowMillis);
    }
}
