package org.damasktiller.peer;

import java.util.ArrayList;
import java.util.List;
import java.util.Objects;
import org.damasktiller.identity.RegionName;
import org.damasktiller.identity.VmId;
import org.damasktiller.identity.ZoneName;
import org.damasktiller.peer.PeerMessage.ZoneReport;
import org.jspecify.annotations.Nullable;

/** Chooses the receivers of messages between zones and between regions. */
final class ZoneExchange {

    /** The time between two reports to the zones of the region, in milliseconds. */
    private static final long REPORT_MILLIS = 1_000;

    /** The time between two reports to the other regions, in milliseconds. */
    private static final long LINK_REPORT_MILLIS = 2_000;

    /** Where this member is. */
    private final SpreadSettings place;

    /** The members of this zone. */
    private final ZoneMembers members;

    /** The other zones. */
    private final ZoneDirectory directory;

    /** Collects the messages. */
    private final PeerOutbox outbox;

    /** When the next report to the region is due, in milliseconds. */
    private long nextReportMillis = Long.MIN_VALUE;

    /** When the next report to the other regions is due, in milliseconds. */
    private long nextLinkReportMillis = Long.MIN_VALUE;

    /**
     * Creates an exchange.
     *
     * @param place where this member is
     * @param members the members of this zone
     * @param directory the other zones
     * @param outbox collects the messages
     */
    ZoneExchange(
            SpreadSettings place, ZoneMembers members, ZoneDirectory directory, PeerOutbox outbox) {
        this.place = place;
        this.members = members;
        this.directory = directory;
        this.outbox = outbox;
    }

    /**
     * Sends the reports that are due, at the watcher.
     *
     * @param own the state of this zone
     * @param nowMillis the time, in milliseconds
     */
    void report(ZoneStatus own, long nowMillis) {
        if (nowMillis >= nextReportMillis) {
            nextReportMillis = nowMillis + REPORT_MILLIS;
            sendToRegion(new ZoneReport(toldInRegion(own, nowMillis)), nowMillis);
        }
        if (nowMillis >= nextLinkReportMillis) {
            nextLinkReportMillis = nowMillis + LINK_REPORT_MILLIS;
            sendOverLink(new ZoneReport(toldOverLink(own, nowMillis)), nowMillis);
        }
    }

    /**
     * Takes in the state of other zones; a member that is not the watcher passes it on.
     *
     * @param from the sender
     * @param report the state
     * @param nowMillis the time, in milliseconds
     */
    void onReport(VmId from, ZoneReport report, long nowMillis) {
        for (ZoneStatus status : report.statuses()) {
            if (!status.zone().equals(place.zone())) {
                directory.hear(status, nowMillis);
            }
        }
        VmId watcher = members.watcher();
        if (watcher != null && !members.selfIsWatcher() && !members.all().contains(from)) {
            outbox.send(watcher, report);
        }
    }

    /**
     * Sends a message to the watchers of the other zones of the region.
     *
     * @param message the message
     * @param nowMillis the time, in milliseconds
     */
    void sendToRegion(PeerMessage message, long nowMillis) {
        sendToRegionBehind(Long.MAX_VALUE, message, nowMillis);
    }

    /**
     * Sends a message to the watchers of those zones of the region that are behind a version.
     *
     * @param version the version
     * @param message the message
     * @param nowMillis the time, in milliseconds
     */
    void sendToRegionBehind(long version, PeerMessage message, long nowMillis) {
        for (ZoneName zone : place.zoneMap().zonesOf(place.region())) {
            ZoneStatus status = directory.status(zone, nowMillis);
            boolean behind = status == null || status.highestVersion() < version;
            if (behind && !zone.equals(place.zone())) {
                send(directory.contact(zone, nowMillis), message);
            }
        }
    }

    /**
     * Sends a message to the relays of the other regions, if this member is the relay of its own.
     *
     * @param message the message
     * @param nowMillis the time, in milliseconds
     */
    void sendOverLink(PeerMessage message, long nowMillis) {
        if (relay(nowMillis)) {
            for (RegionName region : place.zoneMap().otherRegions(place.region())) {
                send(directory.relay(region, nowMillis), message);
            }
        }
    }

    /**
     * Tells whether a peer is in another region, so that what it sends has crossed the link.
     *
     * @param peer the peer, or null for the store
     * @param nowMillis the time, in milliseconds
     * @return whether it is a known contact of another region
     */
    boolean otherRegion(@Nullable VmId peer, long nowMillis) {
        return peer != null
                && directory.statuses(nowMillis).stream()
                        .filter(status -> !status.region().equals(place.region()))
                        .anyMatch(status -> status.contacts().contains(peer));
    }

    /**
     * Tells whether a zone of a region reaches the store according to its latest report.
     *
     * @param region the region
     * @param nowMillis the time, in milliseconds
     * @return whether a zone heard of lately reaches the store
     */
    boolean storeReachableFrom(RegionName region, long nowMillis) {
        return place.zoneMap().zonesOf(region).stream()
                .map(zone -> directory.status(zone, nowMillis))
                .filter(Objects::nonNull)
                .anyMatch(status -> !status.cutOff() && status.storeReachable());
    }

    /**
     * Tells whether this member is the relay of its region: the watcher of the first zone that was
     * heard of lately.
     *
     * @param nowMillis the time, in milliseconds
     * @return whether it is the relay
     */
    private boolean relay(long nowMillis) {
        for (ZoneName zone : place.zoneMap().zonesOf(place.region())) {
            if (zone.equals(place.zone())) {
                break;
            }
            if (directory.fresh(zone, nowMillis)) {
                return false;
            }
        }
        return members.selfIsWatcher();
    }

    /**
     * Lists what the zones of the region are told. The relay adds the zones of the other regions,
     * of which it alone hears.
     *
     * @param own the state of this zone
     * @param nowMillis the time, in milliseconds
     * @return the states, that of this zone first
     */
    private List<ZoneStatus> toldInRegion(ZoneStatus own, long nowMillis) {
        return relay(nowMillis) ? told(own, false, nowMillis) : List.of(own);
    }

    /**
     * Lists what the other regions are told.
     *
     * @param own the state of this zone
     * @param nowMillis the time, in milliseconds
     * @return the states of the zones of this region, that of this zone first
     */
    private List<ZoneStatus> toldOverLink(ZoneStatus own, long nowMillis) {
        return told(own, true, nowMillis);
    }

    /**
     * Lists the states heard lately of zones in this region or in the others.
     *
     * @param own the state of this zone
     * @param inRegion whether zones of this region are listed, or else those of the others
     * @param nowMillis the time, in milliseconds
     * @return the states, that of this zone first
     */
    private List<ZoneStatus> told(ZoneStatus own, boolean inRegion, long nowMillis) {
        List<ZoneStatus> told = new ArrayList<>(List.of(own));
        for (ZoneStatus status : directory.statuses(nowMillis)) {
            boolean same = status.region().equals(place.region());
            if (same == inRegion && !status.cutOff() && !status.zone().equals(place.zone())) {
                told.add(status);
            }
        }
        return told;
    }

    /**
     * Sends a message if there is someone to send it to.
     *
     * @param to the receiver, or null
     * @param message the message
     */
    private void send(@Nullable VmId to, PeerMessage message) {
        if (to != null) {
            outbox.send(to, message);
        }
    }
}
