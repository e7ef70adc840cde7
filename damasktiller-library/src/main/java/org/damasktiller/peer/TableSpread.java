package org.damasktiller.peer;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import org.damasktiller.identity.RegionName;
import org.damasktiller.identity.VmId;
import org.damasktiller.identity.ZoneName;
import org.damasktiller.peer.PeerAction.Adopted;
import org.damasktiller.peer.PeerAction.Mark;
import org.damasktiller.peer.PeerAction.RepairStore;
import org.damasktiller.peer.PeerMessage.EndpointMarks;
import org.damasktiller.peer.PeerMessage.StatusReply;
import org.damasktiller.peer.PeerMessage.StatusRequest;
import org.damasktiller.peer.PeerMessage.TableApplied;
import org.damasktiller.peer.PeerMessage.TablePatch;
import org.damasktiller.peer.PeerMessage.TableRequest;
import org.damasktiller.peer.PeerMessage.TableSnapshot;
import org.damasktiller.peer.PeerMessage.ZoneReport;
import org.damasktiller.table.OperatorTable;
import org.jspecify.annotations.Nullable;

/**
 * Spreads the table: from the store to the watcher of each zone, from watcher to watcher, over one
 * relay between two regions, and within a zone along a tree of its members. The watcher of a zone
 * is its first live member in the order of addresses, so each member knows it without an election,
 * and two watchers for a while do no harm. A version that a member has in force is never replaced
 * by an older one, whoever sends it. Each call takes an event with the time and returns what to do.
 * Not safe for use by several threads.
 */
public final class TableSpread {

    /** The shortest time between two requests for the table, in milliseconds. */
    private static final long REQUEST_MILLIS = 500;

    /** For how long the store counts as reachable after an answer, in milliseconds. */
    private static final long STORE_ANSWER_MILLIS = 45_000;

    /** How long an older table in the store is left to newer members to repair, in milliseconds. */
    private static final long REPAIR_DELAY_MILLIS = 3_000;

    /** Where this member is. */
    private final SpreadSettings place;

    /** The table in force and the versions before. */
    private final TableVersions tables = new TableVersions();

    /** The versions of the members, at the watcher. */
    private final ZoneVersions versions = new ZoneVersions();

    /** The other zones. */
    private final ZoneDirectory directory;

    /** The live members of the zone. */
    private final ZoneMembers members;

    /** What to do, collected during one call. */
    private final PeerOutbox outbox = new PeerOutbox();

    /** The messages between zones. */
    private final ZoneExchange exchange;

    /** When the table may next be asked for, in milliseconds. */
    private long nextRequestMillis = Long.MIN_VALUE;

    /** Until when the store counts as reachable, in milliseconds. */
    private long storeReachableUntilMillis = Long.MIN_VALUE;

    /** Since when the store has been behind, in milliseconds, or a negative number. */
    private long storeBehindSinceMillis = -1;

    /**
     * Creates the spread at a member without a table.
     *
     * @param place where this member is
     */
    public TableSpread(SpreadSettings place) {
        this.place = place;
        this.directory = new ZoneDirectory(place.zoneMap());
        this.members = new ZoneMembers(place.self());
        this.exchange = new ZoneExchange(place, members, directory, outbox);
    }

    /**
     * Adds an address of another zone, from settings or the platform's list.
     *
     * @param zone the zone
     * @param id the address
     * @param live whether it is live; one that is not is forgotten
     */
    public void onHint(ZoneName zone, VmId id, boolean live) {
        if (live) {
            directory.addHint(zone, id);
        } else {
            directory.removeHint(zone, id);
        }
    }

    /**
     * Takes in the members of this zone.
     *
     * @param live the members that are live or suspected, in the order of their addresses
     */
    public void onMembers(List<VmId> live) {
        members.set(live);
    }

    /**
     * Takes in that a member is new, was restarted or is gone, so that what it had in force counts
     * no more.
     *
     * @param member the member
     */
    public void onMemberReset(VmId member) {
        versions.forget(member);
    }

    /**
     * Takes in the version that a member of this zone has in force, as heard by gossip.
     *
     * @param member the member
     * @param version the version
     * @param nowMillis the time, in milliseconds
     * @return what to do
     */
    public List<PeerAction> onVersionHeard(VmId member, long version, long nowMillis) {
        versions.heard(member, version);
        if (version > tables.current().version()) {
            request(member, nowMillis);
        }
        return outbox.take();
    }

    /**
     * Takes in the table that the store holds.
     *
     * @param table the table
     * @param nowMillis the time, in milliseconds
     * @return what to do
     */
    public List<PeerAction> onStoreTable(OperatorTable table, long nowMillis) {
        storeReachableUntilMillis = nowMillis + STORE_ANSWER_MILLIS;
        if (table.version() >= tables.current().version()) {
            storeBehindSinceMillis = -1;
            adopt(table, null, nowMillis);
        } else if (storeBehindSinceMillis < 0) {
            storeBehindSinceMillis = nowMillis;
        } else if (watcher() && nowMillis - storeBehindSinceMillis >= REPAIR_DELAY_MILLIS) {
            outbox.add(new RepairStore(tables.current()));
        }
        return outbox.take();
    }

    /** Takes in that the store did not answer. */
    public void onStoreSilent() {
        storeReachableUntilMillis = Long.MIN_VALUE;
    }

    /**
     * Takes in a message.
     *
     * @param from the sender
     * @param message the message
     * @param nowMillis the time, in milliseconds
     * @return what to do
     */
    public List<PeerAction> onMessage(VmId from, PeerMessage message, long nowMillis) {
        if (message instanceof TablePatch patch) {
            onTable(from, patch.toVersion(), tables.apply(patch), nowMillis);
        } else if (message instanceof TableSnapshot snapshot) {
            onTable(from, snapshot.version(), tables.read(snapshot), nowMillis);
        } else if (message instanceof TableRequest request) {
            answer(from, request.haveVersion());
        } else if (message instanceof TableApplied applied) {
            versions.heard(from, applied.version());
            versions.update(Set.copyOf(members.all()), nowMillis);
        } else if (message instanceof ZoneReport report) {
            onReport(from, report, nowMillis);
        } else if (message instanceof StatusRequest) {
            outbox.send(from, new StatusReply(statuses(nowMillis)));
        } else if (message instanceof StatusReply reply) {
            reply.statuses().forEach(status -> directory.hear(status, nowMillis));
        } else if (message instanceof EndpointMarks marks) {
            marks.marks().forEach(mark -> outbox.add(new Mark(mark)));
        }
        return outbox.take();
    }

    /**
     * Takes in a mark of an endpoint that is new in this zone, to pass it on to the other zones.
     *
     * @param mark the mark
     * @param nowMillis the time, in milliseconds
     * @return what to do
     */
    public List<PeerAction> onMark(EndpointMark mark, long nowMillis) {
        if (watcher()) {
            EndpointMarks message = new EndpointMarks(List.of(mark));
            exchange.sendToRegion(message, nowMillis);
            exchange.sendOverLink(message, nowMillis);
        }
        return outbox.take();
    }

    /**
     * Does what is due; to be called about ten times a second.
     *
     * @param nowMillis the time, in milliseconds
     * @return what to do
     */
    public List<PeerAction> onTick(long nowMillis) {
        versions.heard(place.self(), tables.current().version());
        versions.update(Set.copyOf(members.all()), nowMillis);
        if (watcher()) {
            exchange.report(ownStatus(nowMillis), nowMillis);
        }
        return outbox.take();
    }

    /**
     * Asks the watcher of the zone for the state of all zones; {@link #statuses} tells it once the
     * answer is here.
     *
     * @return what to do
     */
    public List<PeerAction> refreshStatuses() {
        VmId watcher = members.watcher();
        if (watcher != null && !watcher()) {
            outbox.send(watcher, new StatusRequest());
        }
        return outbox.take();
    }

    /**
     * Returns the table in force on this member.
     *
     * @return the table
     */
    public OperatorTable table() {
        return tables.current();
    }

    /**
     * Tells whether this member is the watcher of its zone.
     *
     * @return whether it is the first live member
     */
    public boolean watcher() {
        return members.selfIsWatcher();
    }

    /**
     * Tells whether this member has to watch the store: each watcher in the region of the store,
     * and elsewhere each watcher that hears of no zone there which reaches the store, since a watch
     * over the paid link costs more than the relay.
     *
     * @param nowMillis the time, in milliseconds
     * @return whether to watch the store
     */
    public boolean watchesStore(long nowMillis) {
        RegionName storeRegion = place.storeRegion();
        if (!watcher()) {
            return false;
        }
        return storeRegion == null
                || storeRegion.equals(place.region())
                || !exchange.storeReachableFrom(storeRegion, nowMillis);
    }

    /**
     * Lists the state of all zones known, that of this zone included. At a member that is not the
     * watcher it is as of the latest answer of the watcher.
     *
     * @param nowMillis the time, in milliseconds
     * @return the states
     */
    public List<ZoneStatus> statuses(long nowMillis) {
        List<ZoneStatus> all = new ArrayList<>();
        for (ZoneStatus status : directory.statuses(nowMillis)) {
            if (!watcher() || !status.zone().equals(place.zone())) {
                all.add(status);
            }
        }
        if (watcher()) {
            all.add(0, ownStatus(nowMillis));
        }
        return all;
    }

    /**
     * Takes in a table sent by a peer.
     *
     * @param from the sender
     * @param version the version that was sent
     * @param table the table, or null if it could not be made from what this member holds
     * @param nowMillis the time, in milliseconds
     */
    private void onTable(VmId from, long version, @Nullable OperatorTable table, long nowMillis) {
        if (table != null) {
            adopt(table, from, nowMillis);
        } else if (version > tables.current().version()) {
            request(from, nowMillis);
        }
    }

    /**
     * Puts a table in force and passes it on.
     *
     * @param table the table
     * @param from the peer that sent it, or null for the store
     * @param nowMillis the time, in milliseconds
     */
    private void adopt(OperatorTable table, @Nullable VmId from, long nowMillis) {
        if (!tables.adopt(table)) {
            return;
        }
        outbox.add(new Adopted(table));
        versions.heard(place.self(), table.version());
        versions.update(Set.copyOf(members.all()), nowMillis);
        PeerMessage message = tables.messageFrom(tables.previousVersion());
        for (VmId child : members.children()) {
            if (!child.equals(from)) {
                outbox.send(child, message);
            }
        }
        if (!watcher()) {
            tellWatcher(table.version(), from, message);
            return;
        }
        exchange.sendToRegionBehind(table.version(), message, nowMillis);
        if (!exchange.otherRegion(from, nowMillis)) {
            exchange.sendOverLink(message, nowMillis);
        }
    }

    /**
     * Tells the watcher that a version is in force here, and passes it on if it came from
     * elsewhere.
     *
     * @param version the version
     * @param from the peer that sent it, or null for the store
     * @param message the table as it is sent
     */
    private void tellWatcher(long version, @Nullable VmId from, PeerMessage message) {
        VmId watcher = members.watcher();
        if (watcher == null) {
            return;
        }
        if (from == null || !members.all().contains(from)) {
            outbox.send(watcher, message);
        }
        outbox.send(watcher, new TableApplied(version));
    }

    /**
     * Answers a request for the table.
     *
     * @param from the sender
     * @param haveVersion the version that it has in force
     */
    private void answer(VmId from, long haveVersion) {
        if (tables.current().version() > haveVersion) {
            outbox.send(from, tables.messageFrom(haveVersion));
        }
    }

    /**
     * Asks a peer for its table, not too often.
     *
     * @param peer the peer
     * @param nowMillis the time, in milliseconds
     */
    private void request(VmId peer, long nowMillis) {
        if (nowMillis >= nextRequestMillis) {
            nextRequestMillis = nowMillis + REQUEST_MILLIS;
            outbox.send(peer, new TableRequest(tables.current().version()));
        }
    }

    /**
     * Takes in the state of other zones, and asks for the table or sends it if the versions differ.
     *
     * @param from the sender
     * @param report the state
     * @param nowMillis the time, in milliseconds
     */
    private void onReport(VmId from, ZoneReport report, long nowMillis) {
        exchange.onReport(from, report, nowMillis);
        if (report.statuses().isEmpty()) {
            return;
        }
        long version = report.statuses().get(0).highestVersion();
        if (version > tables.current().version()) {
            request(from, nowMillis);
        } else if (watcher()) {
            answer(from, version);
        }
    }

    /**
     * Makes the state of this zone, at its watcher.
     *
     * @param nowMillis the time, in milliseconds
     * @return the state
     */
    private ZoneStatus ownStatus(long nowMillis) {
        return new ZoneStatus(
                place.zone(),
                place.region(),
                members.contacts(),
                members.all().size(),
                versions.inForceVersion(),
                nowMillis - versions.sinceMillis(),
                tables.current().version(),
                nowMillis < storeReachableUntilMillis,
                0);
    }
}
