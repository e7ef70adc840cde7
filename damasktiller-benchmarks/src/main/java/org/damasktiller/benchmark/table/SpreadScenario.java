package org.damasktiller.benchmark.table;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;
import org.HdrHistogram.Histogram;
import org.damasktiller.identity.KindName;
import org.damasktiller.identity.RegionName;
import org.damasktiller.identity.TenantName;
import org.damasktiller.identity.VmId;
import org.damasktiller.identity.ZoneName;
import org.damasktiller.peer.ZoneMap;
import org.damasktiller.standin.network.PeerFleet;
import org.damasktiller.standin.network.VirtualNetwork;
import org.damasktiller.standin.network.VirtualStore;
import org.damasktiller.standin.time.VirtualTime;
import org.damasktiller.table.EditId;
import org.damasktiller.table.KindOfWork;
import org.damasktiller.table.OperatorTable;
import org.damasktiller.table.TableEdit;
import org.damasktiller.table.TableRepository;

/** Runs a fleet of three regions with three zones each and edits its table. */
final class SpreadScenario {

    /** The number of regions, and of zones of each. */
    private static final int THREE = 3;

    /** The number of rows of the table. */
    private static final int ROWS = 500;

    /** How long the fleet settles, in milliseconds. */
    private static final long SETTLE_MILLIS = 30_000;

    /** How long one change is awaited at most, in milliseconds. */
    private static final long LONGEST_MILLIS = 60_000;

    /** The step of the wait, in milliseconds. */
    private static final long STEP_MILLIS = 10;

    /** The time between two changes, in milliseconds. */
    private static final long PAUSE_MILLIS = 3_700;

    /** The clock. */
    private final VirtualTime time = new VirtualTime(1_000_000);

    /** The network. */
    private final VirtualNetwork network = new VirtualNetwork(time, 1);

    /** The store. */
    private final VirtualStore store = new VirtualStore(time, network);

    /** The zones with their regions. */
    private final ZoneMap zones;

    /** The nodes. */
    private final PeerFleet fleet;

    /** The times from accepted to in force on every node, in milliseconds. */
    private final Histogram delays = new Histogram(2);

    /** The number of the latest edit. */
    private int edits;

    /**
     * Starts a fleet.
     *
     * @param members the number of nodes
     */
    SpreadScenario(int members) {
        Map<ZoneName, RegionName> regions = new TreeMap<>();
        for (int index = 0; index < THREE * THREE; index++) {
            regions.put(zone(index), new RegionName("region-" + index / THREE));
        }
        zones = new ZoneMap(regions);
        RegionName storeRegion = new RegionName("region-0");
        network.place(VirtualStore.ADDRESS, zone(0), storeRegion);
        fleet = new PeerFleet(time, network, store, zones, storeRegion, 2);
        Map<VmId, ZoneName> seeds = new TreeMap<>();
        for (int index = 0; index < THREE * THREE; index++) {
            seeds.put(id(index), zone(index));
        }
        for (int index = 0; index < members; index++) {
            fleet.start(id(index), zone(index % (THREE * THREE)), seeds);
        }
        time.pass(SETTLE_MILLIS);
        change();
        time.pass(SETTLE_MILLIS);
    }

    /**
     * Makes one change and notes how long it takes.
     *
     * @param killed a node to kill once the change is accepted, or an empty text
     */
    void changeAndNote(String killed) {
        long version = change();
        long acceptedAtMillis = time.nowMillis();
        if (!killed.isEmpty()) {
            fleet.kill(new VmId(killed));
        }
        while (fleet.lowestVersion(fleet.running()) < version
                && time.nowMillis() - acceptedAtMillis < LONGEST_MILLIS) {
            time.pass(STEP_MILLIS);
        }
        delays.recordValue(time.nowMillis() - acceptedAtMillis);
        time.pass(PAUSE_MILLIS);
    }

    /**
     * Returns the times from accepted to in force on every node.
     *
     * @return the times, in milliseconds
     */
    Histogram delays() {
        return delays;
    }

    /**
     * Returns the bytes that crossed between regions.
     *
     * @return the bytes
     */
    long linkBytes() {
        return network.linkBytes();
    }

    /**
     * Returns the calls of the store.
     *
     * @return the calls
     */
    long storeCalls() {
        return store.calls();
    }

    /**
     * Returns the bytes of gossip that one node sent and received, on average.
     *
     * @return the bytes
     */
    double gossipBytes() {
        return fleet.running().stream()
                .map(id -> fleet.node(id).membership().counters())
                .mapToLong(counters -> counters.sentBytes() + counters.receivedBytes())
                .average()
                .orElse(0);
    }

    /**
     * Runs without a change.
     *
     * @param millis for how long, in milliseconds
     */
    void idle(long millis) {
        time.pass(millis);
    }

    /**
     * Edits one row on a node of the region of the store.
     *
     * @return the version accepted
     */
    private long change() {
        edits++;
        TableRepository repository = fleet.repository(fleet.running(zone(1)).get(0));
        long[] version = new long[1];
        repository
                .read()
                .then(
                        base ->
                                repository.edit(
                                        new TableEdit(
                                                new EditId("e" + edits), "ana", base, next(base))))
                .whenResult(result -> version[0] = result.version());
        while (version[0] == 0) {
            time.pass(1);
        }
        return version[0];
    }

    /**
     * Makes the table of the next edit.
     *
     * @param base the table in force
     * @return the table with one row changed
     */
    private OperatorTable next(OperatorTable base) {
        List<KindOfWork> rows = new ArrayList<>();
        for (int index = 0; index < ROWS; index++) {
            int limit = index == edits % ROWS ? edits : 0;
            rows.add(
                    KindOfWork.builder(new KindName("kind-" + index), new TenantName("team"))
                            .runningLimit(limit)
                            .build());
        }
        return OperatorTable.of(base.version(), rows);
    }

    /**
     * Names a zone.
     *
     * @param index its number
     * @return the name
     */
    private static ZoneName zone(int index) {
        return new ZoneName("zone-" + index);
    }

    /**
     * Names a node; the first nine are each the first of their zone.
     *
     * @param index its number
     * @return the address
     */
    static VmId id(int index) {
        return new VmId(String.format(Locale.ROOT, "10.0.1.%03d:7000", index));
    }
}
