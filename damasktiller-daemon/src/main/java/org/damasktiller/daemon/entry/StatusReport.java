package org.damasktiller.daemon.entry;

import io.activej.common.time.CurrentTimeProvider;
import io.activej.promise.Promise;
import java.util.List;
import org.damasktiller.daemon.cell.CellHost;
import org.damasktiller.daemon.operator.StatusBody;
import org.damasktiller.daemon.peer.PeerNode;
import org.damasktiller.identity.VmId;
import org.damasktiller.identity.ZoneName;
import org.damasktiller.peer.ZoneStatus;

/** Tells operators what an entry VM knows of the system. */
final class StatusReport {

    /** The age from which on the news of a zone counts as lost, in milliseconds. */
    private static final long CUT_OFF_MILLIS = 5_000;

    /** The name of this VM. */
    private final VmId self;

    /** The availability zone of this VM. */
    private final ZoneName zone;

    /** The clock. */
    private final CurrentTimeProvider clock;

    /** The membership and the spread of the table. */
    private final PeerNode peerNode;

    /** The cells of this VM's zone. */
    private final CellHost cellHost;

    /**
     * Creates a report.
     *
     * @param self the name of this VM
     * @param zone the availability zone of this VM
     * @param clock the clock
     * @param peerNode the membership and the spread of the table
     * @param cellHost the cells of this VM's zone
     */
    StatusReport(
            VmId self,
            ZoneName zone,
            CurrentTimeProvider clock,
            PeerNode peerNode,
            CellHost cellHost) {
        this.self = self;
        this.zone = zone;
        this.clock = clock;
        this.peerNode = peerNode;
        this.cellHost = cellHost;
    }

    /**
     * Reads the status.
     *
     * @param readiness whether this VM takes new work
     * @param tableVersion the version of the table in force on this VM
     * @return the status
     */
    Promise<StatusBody> read(Readiness readiness, long tableVersion) {
        return peerNode.statuses()
                .map(
                        statuses ->
                                new StatusBody(
                                        self.value(),
                                        zone.value(),
                                        readiness.name(),
                                        tableVersion,
                                        statuses.stream().map(this::zoneBody).toList(),
                                        members(),
                                        cellHost.status()));
    }

    /**
     * Tells the state of an availability zone.
     *
     * @param status what is known of the zone
     * @return the state
     */
    private StatusBody.ZoneBody zoneBody(ZoneStatus status) {
        return new StatusBody.ZoneBody(
                status.zone().value(),
                status.region().value(),
                status.inForceVersion(),
                clock.currentTimeMillis() - status.inForceForMillis(),
                status.ageMillis() < CUT_OFF_MILLIS,
                status.members());
    }

    /**
     * Tells the live entry VMs of this zone.
     *
     * @return the names of the VMs
     */
    private List<String> members() {
        return peerNode.liveMembers().stream().map(VmId::value).toList();
    }
}
