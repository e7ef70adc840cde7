package org.damasktiller.node.cluster;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.allOf;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.equalTo;
import static org.hamcrest.Matchers.everyItem;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.hasSize;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import java.lang.reflect.Proxy;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import org.damasktiller.scheduler.cell.CellKeys;
import org.damasktiller.scheduler.cell.CellSettings;
import org.damasktiller.scheduler.cell.OwnerRecord;
import org.damasktiller.scheduler.cell.StoredValueCodec;
import org.damasktiller.scheduler.port.AdviceClient;
import org.damasktiller.scheduler.port.StoreItem;
import org.damasktiller.scheduler.port.WorkerClient;
import org.damasktiller.standin.metadata.CallFault;
import org.damasktiller.standin.metadata.FaultInjectingStoreClient;
import org.damasktiller.standin.metadata.FaultPlan;
import org.damasktiller.standin.metadata.InMemoryStore;
import org.damasktiller.standin.time.VirtualTimeRuntime;
import org.junit.jupiter.api.Test;

/** Tests how the cells are divided among processes that come back after all VMs lost power. */
final class OwnershipSpreadTest {

    /** The region of each zone; each zone is a cell. */
    private static final Map<String, String> ZONES =
            Map.of(
                    "a1", "north", "a2", "north", "a3", "north", "b1", "south", "b2", "south", "b3",
                    "south");

    /** The time after which the other processes follow the first one, in milliseconds. */
    private static final long LATER_MILLIS = 1_000;

    /** The time within which the cells have to be divided, in milliseconds. */
    private static final long SPREAD_MILLIS = 10_000;

    /**
     * The time within which the only process that can own cells owns each of them, in milliseconds:
     * it stores the layout first.
     */
    private static final long FIRST_ELECTION_MILLIS = 700;

    /**
     * How long a cell is vacant at most while it is handed over, in milliseconds: a little longer
     * than the time for which watches collect changes.
     */
    private static final long VACANT_MILLIS = 100;

    /** The processor time of a weak VM, in thousandths of a core. */
    private static final int WEAK_MILLICORES = 120;

    /** The clock and the timers, which the tests advance. */
    private final VirtualTimeRuntime runtime = new VirtualTimeRuntime();

    /** The contents of the store. */
    private final InMemoryStore store = new InMemoryStore(runtime);

    /** The first VM that was back won every cell and kept them, while the others owned nothing. */
    @Test
    void firstVmAfterAPowerLossDoesNotKeepEveryCell() {
        startProcess("a1");
        runtime.advance(LATER_MILLIS);
        assertThat(cellsByVm().values(), everyItem(equalTo(ZONES.size())));
        List.of("a2", "a3", "b1", "b2", "b3").forEach(this::startProcess);
        runtime.advance(SPREAD_MILLIS);
        assertThat(vmByCell().keySet(), hasSize(ZONES.size()));
        assertThat(cellsByVm().values(), everyItem(lessThanOrEqualTo(2)));
    }

    /**
     * The work of a cell waits while it has no owner, so that it is handed over like at SIGTERM.
     */
    @Test
    void cellThatIsHandedOverIsVacantBriefly() {
        startProcess("a1");
        runtime.advance(LATER_MILLIS);
        List.of("a2", "a3", "b1", "b2", "b3").forEach(this::startProcess);
        Map<String, Long> ownedMillis = new HashMap<>();
        vmByCell().keySet().forEach(cell -> ownedMillis.put(cell, runtime.nowMillis()));
        long longestMillis = 0;
        for (long millis = 0; millis < SPREAD_MILLIS; millis++) {
            runtime.advance(1);
            for (String cell : vmByCell().keySet()) {
                Long before = ownedMillis.put(cell, runtime.nowMillis());
                longestMillis =
                        Math.max(
                                longestMillis,
                                runtime.nowMillis() - Objects.requireNonNull(before));
            }
        }
        assertThat(longestMillis, allOf(greaterThan(1L), lessThanOrEqualTo(VACANT_MILLIS)));
    }

    /** Cells are not handed over in a circle. */
    @Test
    void cellsThatAreSpreadStayWhereTheyAre() {
        startProcess("a1");
        runtime.advance(LATER_MILLIS);
        List.of("a2", "a3", "b1", "b2", "b3").forEach(this::startProcess);
        runtime.advance(SPREAD_MILLIS);
        Map<String, String> spread = vmByCell();
        runtime.advance(6 * SPREAD_MILLIS);
        assertThat(vmByCell(), equalTo(spread));
    }

    /** Its former owner had to win the cell again after two seconds, over and over. */
    @Test
    void cellIsNotHandedToAProcessWithoutAManifest() {
        startProcess("a1");
        createProcess("a2", 1, WEAK_MILLICORES, FaultPlan.NO_FAULTS).start();
        runtime.advance(SPREAD_MILLIS);
        assertThat(generations(), everyItem(equalTo(1L)));
    }

    /**
     * Only one of the VMs that were back got the manifest, and waited 200 ms for each of the others
     * although they could not own a cell.
     */
    @Test
    void processesWithoutAManifestDoNotDelayTheElection() {
        ClusterMember member = createProcess("a1", 1, WEAK_MILLICORES, FaultPlan.NO_FAULTS);
        member.start();
        for (String zone : List.of("a2", "a3", "b1", "b2", "b3")) {
            createProcess(zone, 1, 2 * WEAK_MILLICORES, FaultPlan.NO_FAULTS).start();
        }
        runtime.advance(SPREAD_MILLIS);
        member.onManifest(TestManifests.of(1, List.of("route")), 1, false);
        runtime.advance(FIRST_ELECTION_MILLIS);
        assertThat(cellsByVm(), equalTo(Map.of("vm-a1", ZONES.size())));
    }

    /** What is known of others may be out of date. */
    @Test
    void nothingIsHandedOverWhileTheWatchOfTheStoreIsLost() {
        boolean[] lost = {false};
        startProcess(
                "a1",
                1,
                WEAK_MILLICORES,
                call ->
                        lost[0] && call.equals("watch " + CellKeys.PUBLIC_PREFIX)
                                ? CallFault.LOST
                                : CallFault.ANSWERED);
        runtime.advance(LATER_MILLIS);
        List.of("a2", "a3", "b1", "b2", "b3").forEach(this::startProcess);
        runtime.advance(LATER_MILLIS / 2);
        lost[0] = true;
        runtime.advance(SPREAD_MILLIS);
        assertThat(cellsByVm().values(), everyItem(equalTo(ZONES.size())));
        lost[0] = false;
        runtime.advance(SPREAD_MILLIS);
        assertThat(cellsByVm().values(), everyItem(lessThanOrEqualTo(2)));
    }

    /** A deployment with one cell has nothing to spread. */
    @Test
    void onlyCellStaysAtItsOwner() {
        startProcess("a1", ZONES.size(), WEAK_MILLICORES, FaultPlan.NO_FAULTS);
        runtime.advance(LATER_MILLIS);
        Map<String, String> before = vmByCell();
        startProcess("b1", ZONES.size(), 10 * WEAK_MILLICORES, FaultPlan.NO_FAULTS);
        runtime.advance(3 * SPREAD_MILLIS);
        assertThat(before.values(), contains("vm-a1"));
        assertThat(vmByCell(), equalTo(before));
    }

    /**
     * Starts the process of the only VM of a zone, where each zone is a cell.
     *
     * @param zone the name of the zone
     */
    private void startProcess(String zone) {
        startProcess(zone, 1, WEAK_MILLICORES, FaultPlan.NO_FAULTS);
    }

    /**
     * Starts the process of the only VM of a zone.
     *
     * @param zone the name of the zone
     * @param maxZonesPerCell the most zones of a cell
     * @param cpuMillicores the processor time of the VM, in thousandths of a core
     * @param faults decides which calls to the store fail
     */
    private void startProcess(
            String zone, int maxZonesPerCell, int cpuMillicores, FaultPlan faults) {
        ClusterMember member = createProcess(zone, maxZonesPerCell, cpuMillicores, faults);
        member.start();
        member.onManifest(TestManifests.of(1, List.of("route")), 1, false);
    }

    /**
     * Creates the process of the only VM of a zone.
     *
     * @param zone the name of the zone
     * @param maxZonesPerCell the most zones of a cell
     * @param cpuMillicores the processor time of the VM, in thousandths of a core
     * @param faults decides which calls to the store fail
     * @return the process, which is not started and has no manifest
     */
    private ClusterMember createProcess(
            String zone, int maxZonesPerCell, int cpuMillicores, FaultPlan faults) {
        return new ClusterMember(
                new NodeIdentity(
                        "vm-" + zone,
                        "process-" + zone,
                        zone,
                        cpuMillicores,
                        runtime.unixMillis(),
                        ""),
                new LayoutSettings(ZONES, maxZonesPerCell),
                CellSettings.builder().build(),
                new FaultInjectingStoreClient(store, runtime, faults),
                unusedWorkerClient(),
                AdviceClient.NONE,
                TestManifests.DECODER,
                runtime,
                (event, fields) -> {});
    }

    /**
     * Returns how many cells each VM owns.
     *
     * @return the number of cells by the name of the VM; VMs without a cell are left out
     */
    private Map<String, Integer> cellsByVm() {
        Map<String, Integer> counts = new HashMap<>();
        vmByCell().values().forEach(node -> counts.merge(node, 1, Integer::sum));
        return counts;
    }

    /**
     * Returns the owner of each cell that has one.
     *
     * @return the names of the VMs by the keys of the cells' owners
     */
    private Map<String, String> vmByCell() {
        Map<String, String> nodes = new HashMap<>();
        owners().forEach((cell, record) -> nodes.put(cell, record.node()));
        return nodes;
    }

    /**
     * Returns how often each cell has been won.
     *
     * @return the generations of the cells that have an owner
     */
    private List<Long> generations() {
        return owners().values().stream().map(OwnerRecord::generation).toList();
    }

    /**
     * Returns the owner of each cell that has one.
     *
     * @return the owners by the keys of the cells' owners
     */
    private Map<String, OwnerRecord> owners() {
        Map<String, OwnerRecord> owners = new HashMap<>();
        for (StoreItem item : store.list(CellKeys.OWNER_PREFIX, "").items()) {
            OwnerRecord record = StoredValueCodec.decode(item.value(), OwnerRecord.class);
            if (record != null) {
                owners.put(item.key(), record);
            }
        }
        return owners;
    }

    /**
     * Creates a client of workers; there are none.
     *
     * @return a client that ignores all calls
     */
    private static WorkerClient unusedWorkerClient() {
        return (WorkerClient)
                Proxy.newProxyInstance(
                        WorkerClient.class.getClassLoader(),
                        new Class<?>[] {WorkerClient.class},
                        (proxy, method, arguments) -> null);
    }
}
