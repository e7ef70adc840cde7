package org.damasktiller.node.cluster;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.equalTo;
import static org.hamcrest.Matchers.everyItem;
import static org.hamcrest.Matchers.hasSize;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import java.lang.reflect.Proxy;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.damasktiller.scheduler.cell.CellKeys;
import org.damasktiller.scheduler.cell.CellSettings;
import org.damasktiller.scheduler.cell.OwnerRecord;
import org.damasktiller.scheduler.cell.StoredValueCodec;
import org.damasktiller.scheduler.port.AdviceClient;
import org.damasktiller.scheduler.port.StoreItem;
import org.damasktiller.scheduler.port.WorkerClient;
import org.damasktiller.standin.metadata.FaultInjectingStoreClient;
import org.damasktiller.standin.metadata.FaultPlan;
import org.damasktiller.standin.metadata.InMemoryStore;
import org.damasktiller.standin.time.VirtualTimeRuntime;
import org.junit.jupiter.api.Tag;
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

    /** The processor time of a weak VM, in thousandths of a core. */
    private static final int WEAK_MILLICORES = 120;

    /** The clock and the timers, which the tests advance. */
    private final VirtualTimeRuntime runtime = new VirtualTimeRuntime();

    /** The contents of the store. */
    private final InMemoryStore store = new InMemoryStore(runtime);

    /** The first VM that was back won every cell and kept them, while the others owned nothing. */
    @Test
    @Tag("known-red")
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
     * Starts the process of the only VM of a zone.
     *
     * @param zone the name of the zone
     */
    private void startProcess(String zone) {
        ClusterMember member =
                new ClusterMember(
                        new NodeIdentity(
                                "vm-" + zone,
                                "process-" + zone,
                                zone,
                                WEAK_MILLICORES,
                                runtime.unixMillis(),
                                ""),
                        new LayoutSettings(ZONES, 1),
                        CellSettings.builder().build(),
                        new FaultInjectingStoreClient(store, runtime, FaultPlan.NO_FAULTS),
                        unusedWorkerClient(),
                        AdviceClient.NONE,
                        TestManifests.DECODER,
                        runtime,
                        (event, fields) -> {});
        member.start();
        member.onManifest(TestManifests.of(1, List.of("route")), 1, false);
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
        Map<String, String> owners = new HashMap<>();
        for (StoreItem item : store.list(CellKeys.OWNER_PREFIX, "").items()) {
            OwnerRecord record = StoredValueCodec.decode(item.value(), OwnerRecord.class);
            if (record != null) {
                owners.put(item.key(), record.node());
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
