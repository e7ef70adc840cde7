package org.damasktiller.peer;

import java.util.List;
import org.damasktiller.identity.RegionName;
import org.damasktiller.identity.VmId;
import org.damasktiller.identity.ZoneName;

/** Holds one message between entry VMs over a connection. */
public sealed interface PeerMessage {

    /**
     * Opens a connection.
     *
     * @param formatVersion the version of the format
     * @param cluster the name shared by all members of the cluster
     * @param sender the address of the sender
     * @param zone the zone of the sender
     * @param region the region of the sender
     */
    record Hello(int formatVersion, String cluster, VmId sender, ZoneName zone, RegionName region)
            implements PeerMessage {}

    /**
     * Carries the changes from one version of the table to a later one.
     *
     * @param fromVersion the version to which the changes apply
     * @param toVersion the version that results
     * @param digest the digest of the table that results
     * @param changes the encoded changes
     */
    @SuppressWarnings("ArrayRecordComponent")
    record TablePatch(long fromVersion, long toVersion, long digest, byte[] changes)
            implements PeerMessage {}

    /**
     * Carries a whole table.
     *
     * @param version the version
     * @param digest the digest of the table
     * @param csv the table as CSV
     */
    @SuppressWarnings("ArrayRecordComponent")
    record TableSnapshot(long version, long digest, byte[] csv) implements PeerMessage {}

    /**
     * Asks for the table in force.
     *
     * @param haveVersion the version that the sender has in force
     */
    record TableRequest(long haveVersion) implements PeerMessage {}

    /**
     * Tells the watcher of the zone that a version is in force at the sender.
     *
     * @param version the version
     */
    record TableApplied(long version) implements PeerMessage {}

    /**
     * Carries the state of zones between watchers.
     *
     * @param statuses the zones, that of the sender first
     */
    record ZoneReport(List<ZoneStatus> statuses) implements PeerMessage {}

    /** Asks the watcher of the zone for the state of all zones. */
    record StatusRequest() implements PeerMessage {}

    /**
     * Answers a status request.
     *
     * @param statuses the zones
     */
    record StatusReply(List<ZoneStatus> statuses) implements PeerMessage {}

    /**
     * Carries marks of endpoints between zones.
     *
     * @param marks the marks
     */
    record EndpointMarks(List<EndpointMark> marks) implements PeerMessage {}

    /**
     * Calls a service of the receiver, answered by a {@link CallReply}.
     *
     * @param number the number of the call, never used twice by the same sender
     * @param body the encoded call
     */
    @SuppressWarnings("ArrayRecordComponent")
    record Call(long number, byte[] body) implements PeerMessage {}

    /**
     * Answers a call.
     *
     * @param number the number of the call
     * @param body the encoded answer
     */
    @SuppressWarnings("ArrayRecordComponent")
    record CallReply(long number, byte[] body) implements PeerMessage {}
}
