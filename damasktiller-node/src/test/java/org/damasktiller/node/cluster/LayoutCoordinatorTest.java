package org.damasktiller.node.cluster;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsInAnyOrder;
import static org.hamcrest.Matchers.equalTo;
import static org.hamcrest.Matchers.nullValue;

import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.Objects;
import org.damasktiller.scheduler.cell.CellKeys;
import org.damasktiller.scheduler.cell.StoredValueCodec;
import org.damasktiller.scheduler.port.MetadataStore;
import org.damasktiller.scheduler.port.StoreTransaction;
import org.damasktiller.standin.metadata.FaultInjectingStoreClient;
import org.damasktiller.standin.metadata.FaultPlan;
import org.damasktiller.standin.metadata.InMemoryStore;
import org.damasktiller.standin.time.VirtualTimeRuntime;
import org.junit.jupiter.api.Test;

/** Tests that all processes adopt one layout of the cells. */
final class LayoutCoordinatorTest {

    /** Two zones of one region. */
    private static final Map<String, String> ZONES = Map.of("a", "north", "b", "north");

    /** So many zones that the layout depends on the registered VMs. */
    private static final Map<String, String> MANY_ZONES =
            Map.of("a", "north", "b", "north", "c", "north", "d", "north");

    /** The clock and the timers, which the tests advance. */
    private final VirtualTimeRuntime runtime = new VirtualTimeRuntime();

    /** The contents of the store. */
    private final InMemoryStore store = new InMemoryStore(runtime);

    /** Two processes propose at the same time, since neither has seen the other's layout. */
    @Test
    void processesWithDifferentProposalsAdoptTheSameLayout() {
        LayoutCoordinator first = coordinator(1);
        LayoutCoordinator second = coordinator(2);
        runtime.advance(100);
        first.proposeIfAbsent();
        second.proposeIfAbsent();
        runtime.advance(1_000);
        assertThat(cells(first), containsInAnyOrder("service@a", "service@b"));
        assertThat(cells(second), equalTo(cells(first)));
    }

    @Test
    void nothingIsAssumedBeforeTheStoreIsRead() {
        LayoutCoordinator coordinator = coordinator(1);
        coordinator.proposeIfAbsent();
        assertThat(coordinator.layout(), nullValue());
        assertThat(store.value(CellKeys.LAYOUT), nullValue());
    }

    @Test
    void unreadableLayoutIsLeftAndReplacedByTheSameDefaultEverywhere() {
        byte[] unreadable = "{\"maxZonesPerCell\":\"many\"}".getBytes(StandardCharsets.UTF_8);
        store.commit(new StoreTransaction().put(CellKeys.LAYOUT, unreadable));
        LayoutCoordinator coordinator = coordinator(1);
        runtime.advance(1_000);
        coordinator.proposeIfAbsent();
        runtime.advance(1_000);
        assertThat(cells(coordinator), containsInAnyOrder("service"));
        assertThat(store.value(CellKeys.LAYOUT), equalTo(unreadable));
    }

    // The layout, which holds for good, was proposed by what was left after all leases had ended.
    @Test
    void layoutDoesNotRestOnRegistrationsThatTheStoreHasEnded() {
        LayoutCoordinator coordinator = coordinator(MANY_ZONES, LayoutPolicy.AUTOMATIC);
        registerWeakVm();
        runtime.advance(1_000);
        store.revokeAllLeases();
        runtime.advance(1_000);
        coordinator.proposeIfAbsent();
        registerWeakVm();
        runtime.advance(1_000);
        assertThat(coordinator.layout(), nullValue());
        runtime.advance(LayoutCoordinator.REGISTRATION_MILLIS);
        coordinator.proposeIfAbsent();
        runtime.advance(1_000);
        assertThat(
                cells(coordinator),
                containsInAnyOrder("service@a", "service@b", "service@c", "service@d"));
    }

    /** Registers a VM that can own the workers of one zone only, under a lease. */
    private void registerWeakVm() {
        NodeRecord record = new NodeRecord("vm", "process", "a", true, 120, 0, "", true);
        store.commit(
                new StoreTransaction()
                        .put(
                                CellKeys.NODE_PREFIX + "vm",
                                StoredValueCodec.encode(record),
                                store.grantLease(60_000).id()));
    }

    /**
     * Creates the coordinator of a process that has begun to read the store.
     *
     * @param maxZonesPerCell the most zones of a cell as configured on its VM
     * @return the coordinator
     */
    private LayoutCoordinator coordinator(int maxZonesPerCell) {
        return coordinator(ZONES, maxZonesPerCell);
    }

    /**
     * Creates the coordinator of a process that has begun to read the store.
     *
     * @param zones the zones with their regions
     * @param maxZonesPerCell the most zones of a cell as configured on its VM
     * @return the coordinator
     */
    private LayoutCoordinator coordinator(Map<String, String> zones, int maxZonesPerCell) {
        MetadataStore client = new FaultInjectingStoreClient(store, runtime, FaultPlan.NO_FAULTS);
        ClusterView view = new ClusterView(client, runtime, (event, fields) -> {}, () -> {});
        view.start();
        StoreSession session =
                new StoreSession(client, runtime, (event, fields) -> {}, 2_000, () -> {});
        ClusterContext context =
                new ClusterContext(client, session, view, runtime, (event, fields) -> {});
        return new LayoutCoordinator(context, new LayoutSettings(zones, maxZonesPerCell));
    }

    /**
     * Returns the cells of a service.
     *
     * @param coordinator a coordinator that has a layout
     * @return the names of the cells
     */
    private static Iterable<String> cells(LayoutCoordinator coordinator) {
        return Objects.requireNonNull(coordinator.layout()).cellsOf("service");
    }
}
