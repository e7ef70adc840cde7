package org.damasktiller.peer;

import java.util.ArrayList;
import java.util.List;
import org.damasktiller.identity.EndpointId;
import org.damasktiller.identity.VmId;
import org.damasktiller.identity.ZoneName;
import org.damasktiller.membership.GossipMessage;
import org.damasktiller.membership.MemberRecord;
import org.damasktiller.membership.Membership;
import org.damasktiller.membership.MembershipAction;
import org.damasktiller.membership.MembershipAction.EndpointMarked;
import org.damasktiller.membership.MembershipAction.MemberChanged;
import org.damasktiller.membership.MembershipAction.TableVersionHeard;
import org.damasktiller.peer.PeerAction.Adopted;
import org.damasktiller.peer.PeerAction.Mark;
import org.damasktiller.table.OperatorTable;
import org.damasktiller.vm.VmRecord;
import org.damasktiller.vm.VmRole;
import org.damasktiller.vm.VmState;

/**
 * Joins the membership of a zone and the spread of the table in one node without I/O. Each call
 * takes an event with the time and returns what to do. Not safe for use by several threads.
 */
public final class PeerCore {

    /** Where this node is. */
    private final SpreadSettings place;

    /** The membership of the zone. */
    private final Membership membership;

    /** The spread of the table. */
    private final TableSpread spread;

    /** The datagrams and changes of the call. */
    private List<MembershipAction> gossip = new ArrayList<>();

    /** The messages and changes of the call. */
    private List<PeerAction> peer = new ArrayList<>();

    /**
     * Creates a node.
     *
     * @param place where the node is
     * @param membership the membership of its zone
     */
    public PeerCore(SpreadSettings place, Membership membership) {
        this.place = place;
        this.membership = membership;
        this.spread = new TableSpread(place);
    }

    /**
     * Returns the membership of the zone.
     *
     * @return the membership, for reading only
     */
    public Membership membership() {
        return membership;
    }

    /**
     * Returns the spread of the table.
     *
     * @return the spread, for reading only
     */
    public TableSpread spread() {
        return spread;
    }

    /**
     * Lists the members of the zone that may own cells and shards and receive new work.
     *
     * @return the members in order, equal at members with equal views
     */
    public List<VmId> liveMembers() {
        return membership.present().stream()
                .filter(member -> member.status().takesNewWork())
                .map(MemberRecord::id)
                .toList();
    }

    /**
     * Adds an address that may be of another zone.
     *
     * @param zone the zone
     * @param id the address
     */
    public void hint(ZoneName zone, VmId id) {
        spread.onHint(zone, id, true);
    }

    /**
     * Does what is due; to be called about ten times a second.
     *
     * @param nowMillis the time, in milliseconds
     * @return what to do
     */
    public NodeOutput onTick(long nowMillis) {
        takeGossip(membership.onTick(nowMillis), nowMillis);
        takePeer(spread.onTick(nowMillis), nowMillis);
        return finish();
    }

    /**
     * Takes in a datagram.
     *
     * @param message the message
     * @param bytes its size without headers
     * @param nowMillis the time, in milliseconds
     * @return what to do
     */
    public NodeOutput onDatagram(GossipMessage message, int bytes, long nowMillis) {
        takeGossip(membership.onMessage(message, bytes, nowMillis), nowMillis);
        return finish();
    }

    /**
     * Takes in a message over a connection.
     *
     * @param from the sender
     * @param message the message
     * @param nowMillis the time, in milliseconds
     * @return what to do
     */
    public NodeOutput onMessage(VmId from, PeerMessage message, long nowMillis) {
        takePeer(spread.onMessage(from, message, nowMillis), nowMillis);
        return finish();
    }

    /**
     * Takes in the table that the store holds.
     *
     * @param table the table
     * @param nowMillis the time, in milliseconds
     * @return what to do
     */
    public NodeOutput onStoreTable(OperatorTable table, long nowMillis) {
        takePeer(spread.onStoreTable(table, nowMillis), nowMillis);
        return finish();
    }

    /**
     * Takes in the platform's lagging list of VMs, of all zones.
     *
     * @param records the list
     * @param nowMillis the time, in milliseconds
     * @return what to do
     */
    public NodeOutput onDirectory(List<VmRecord> records, long nowMillis) {
        List<VmRecord> sameZone = new ArrayList<>();
        for (VmRecord each : records) {
            if (each.zone().equals(place.zone())) {
                sameZone.add(each);
            } else if (each.role() == VmRole.ENTRY) {
                spread.onHint(each.zone(), new VmId(each.address()), each.state() == VmState.LIVE);
            }
        }
        takeGossip(membership.onDirectory(sameZone, nowMillis), nowMillis);
        return finish();
    }

    /**
     * Marks this node as leaving.
     *
     * @param nowMillis the time, in milliseconds
     * @return what to do
     */
    public NodeOutput startLeaving(long nowMillis) {
        takeGossip(membership.startLeaving(nowMillis), nowMillis);
        return finish();
    }

    /**
     * Tells the others that this node is gone; to be called last.
     *
     * @param nowMillis the time, in milliseconds
     * @return what to do
     */
    public NodeOutput leave(long nowMillis) {
        takeGossip(membership.leave(nowMillis), nowMillis);
        return finish();
    }

    /**
     * Marks an endpoint in this zone and, through the watcher, in all others.
     *
     * @param mark the mark
     * @param nowMillis the time, in milliseconds
     * @return what to do
     */
    public NodeOutput markEndpoint(EndpointMark mark, long nowMillis) {
        mark(mark, nowMillis);
        return finish();
    }

    /**
     * Asks the watcher of the zone for the state of all zones.
     *
     * @return what to do
     */
    public NodeOutput refreshStatuses() {
        takePeer(spread.refreshStatuses(), 0);
        return finish();
    }

    /**
     * Takes in what the membership asks for and tells.
     *
     * @param actions the actions
     * @param nowMillis the time, in milliseconds
     */
    private void takeGossip(List<MembershipAction> actions, long nowMillis) {
        for (MembershipAction action : actions) {
            gossip.add(action);
            if (action instanceof MemberChanged change) {
                onMemberChanged(change);
            } else if (action instanceof TableVersionHeard heard) {
                takePeer(
                        spread.onVersionHeard(heard.member(), heard.version(), nowMillis),
                        nowMillis);
            } else if (action instanceof EndpointMarked marked) {
                EndpointId endpoint = marked.endpoint();
                EndpointMark mark = new EndpointMark(endpoint, marked.stamp(), marked.leaving());
                takePeer(spread.onMark(mark, nowMillis), nowMillis);
            }
        }
    }

    /**
     * Takes in a change of the membership.
     *
     * @param change the change
     */
    private void onMemberChanged(MemberChanged change) {
        spread.onMembers(liveMembers());
        MemberRecord before = change.before();
        if (before == null || !change.after().status().present()) {
            spread.onMemberReset(change.after().id());
        }
    }

    /**
     * Takes in what the spread asks for and tells.
     *
     * @param actions the actions
     * @param nowMillis the time, in milliseconds
     */
    private void takePeer(List<PeerAction> actions, long nowMillis) {
        for (PeerAction action : actions) {
            peer.add(action);
            if (action instanceof Adopted adopted) {
                membership.setTableVersion(adopted.table().version());
            } else if (action instanceof Mark mark) {
                mark(mark.mark(), nowMillis);
            }
        }
    }

    /**
     * Marks an endpoint in this zone.
     *
     * @param mark the mark
     * @param nowMillis the time, in milliseconds
     */
    private void mark(EndpointMark mark, long nowMillis) {
        takeGossip(
                membership.markEndpoint(mark.endpoint(), mark.stamp(), mark.leaving(), nowMillis),
                nowMillis);
    }

    /**
     * Returns what to do.
     *
     * @return the actions of this call
     */
    private NodeOutput finish() {
        NodeOutput output = new NodeOutput(gossip, peer);
        gossip = new ArrayList<>();
        peer = new ArrayList<>();
        return output;
    }
}
