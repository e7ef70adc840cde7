package org.damasktiller.benchmark.capacity;

import java.util.HashSet;
import java.util.Set;
import org.damasktiller.benchmark.Bound;
import org.damasktiller.benchmark.FigureReport;
import org.damasktiller.identity.VmId;
import org.damasktiller.identity.ZoneName;
import org.damasktiller.standin.network.GossipFleet;
import org.damasktiller.standin.network.VirtualNetwork;
import org.damasktiller.standin.time.VirtualTime;

/** Measures what a member of a zone takes, in virtual time. */
final class MemberCapacity {

    /** An availability zone. */
    private static final ZoneName ZONE = new ZoneName("leinster-1");

    /** The numbers of members of a zone. */
    private static final int[] MEMBERS = {7, 20, 60};

    /** How long time passes while idle cost is measured, in seconds. */
    private static final int IDLE_SECONDS = 30;

    /** The number of milliseconds in a second. */
    private static final int MILLIS = 1_000;

    /** Prevents instantiation. */
    private MemberCapacity() {}

    /**
     * Measures a member of a zone.
     *
     * @param report where the figures go
     */
    static void measure(FigureReport report) {
        Slope bytes =
                Slope.of(MEMBERS, MemberCapacity::gossipBytesPerSecond)
                        .report(report, "member_gossip", "bytes_per_s/member");
        Slope cores =
                Slope.of(MEMBERS, MemberCapacity::gossipCores)
                        .report(report, "member_processor", "cores/member");
        double membersPerZone = DesignSize.ENTRY_VMS / DesignSize.ZONES;
        report.add(
                "member_gossip_at_design_size",
                bytes.at(membersPerZone),
                "bytes/s",
                DesignSize.BYTES_PER_SECOND,
                Bound.AT_MOST);
        report.add(
                "member_cores_at_design_size",
                cores.at(membersPerZone),
                "cores",
                DesignSize.CORE_SHARE,
                Bound.AT_MOST);
    }

    /**
     * Measures the gossip of one member, sent and received.
     *
     * @param members the number of members of its zone
     * @return the bytes a second
     */
    private static double gossipBytesPerSecond(int members) {
        VirtualTime time = new VirtualTime(MILLIS);
        GossipFleet fleet = startFleet(time, members);
        long before = fleetBytes(fleet);
        time.pass((long) IDLE_SECONDS * MILLIS);
        return (double) (fleetBytes(fleet) - before) / members / IDLE_SECONDS;
    }

    /**
     * Measures the processor time of one member, the stand-in network included.
     *
     * @param members the number of members of its zone
     * @return the part of a core
     */
    private static double gossipCores(int members) {
        VirtualTime time = new VirtualTime(MILLIS);
        GossipFleet fleet = startFleet(time, members);
        double nanos = Resource.processorNanosOf(() -> time.pass((long) IDLE_SECONDS * MILLIS));
        return nanos / fleet.running().size() / IDLE_SECONDS / DesignSize.NANOS_PER_SECOND;
    }

    /**
     * Starts the members of a zone and lets them find each other.
     *
     * @param time the time
     * @param members the number of members
     * @return the members
     */
    private static GossipFleet startFleet(VirtualTime time, int members) {
        GossipFleet fleet = new GossipFleet(time, new VirtualNetwork(time, 1), ZONE, 1);
        Set<VmId> seeds = new HashSet<>();
        for (int index = 0; index < members; index++) {
            VmId id = new VmId("10.0.0." + index + ":8082");
            fleet.start(id, Set.copyOf(seeds));
            seeds.add(id);
        }
        time.pass((long) IDLE_SECONDS * MILLIS);
        return fleet;
    }

    /**
     * Adds up the gossip of all members.
     *
     * @param fleet the members
     * @return the bytes sent and received
     */
    private static long fleetBytes(GossipFleet fleet) {
        return fleet.running().stream()
                .map(id -> fleet.member(id).counters())
                .mapToLong(counters -> counters.sentBytes() + counters.receivedBytes())
                .sum();
    }
}
