package org.damasktiller.node.cluster;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.equalTo;

import java.util.List;
import java.util.Map;
import org.damasktiller.scheduler.cell.CellKeys;
import org.damasktiller.scheduler.cell.PendingRecord;
import org.damasktiller.scheduler.cell.StoredValueCodec;
import org.damasktiller.scheduler.port.StoreTransaction;
import org.damasktiller.standin.metadata.FaultInjectingStoreClient;
import org.damasktiller.standin.metadata.FaultPlan;
import org.damasktiller.standin.metadata.InMemoryStore;
import org.damasktiller.standin.time.VirtualTimeRuntime;
import org.jspecify.annotations.Nullable;
import org.junit.jupiter.api.Test;

/** Tests what a VM accepts by the published use of memory and by what it has accepted since. */
final class AcceptanceBoundTest {

    /** The memory for the open submissions of a cell, in bytes, of which large ones take 48 MB. */
    private static final long BOUND_BYTES = 64_000_000;

    /** What a submission with thousands of steps takes, in bytes. */
    private static final long LARGE_BYTES = 6_500_000;

    /** What a submission of some steps takes, in bytes. */
    private static final long ORDINARY_BYTES = 3_000;

    /** The name of the cell. */
    private static final String CELL = "cell";

    /** The clock. */
    private final VirtualTimeRuntime runtime = new VirtualTimeRuntime();

    /** The store. */
    private final InMemoryStore store = new InMemoryStore(runtime);

    /** What the VM knows. */
    private final ClusterView view =
            new ClusterView(
                    new FaultInjectingStoreClient(store, runtime, FaultPlan.NO_FAULTS),
                    runtime,
                    (event, fields) -> {},
                    () -> {});

    /** The bound. */
    private final AcceptanceBound bound = new AcceptanceBound(view, BOUND_BYTES, runtime);

    // Thirty submissions within a second were all accepted, since the use is published later.
    @Test
    void whatWasAcceptedSinceThePublicationCounts() {
        register(3);
        publish(0, 0);
        int accepted = 0;
        for (int request = 0; request < 30; request++) {
            accepted += bound.admits(CELL, LARGE_BYTES) ? 1 : 0;
        }
        assertThat("a third of 48 MB holds two", accepted, equalTo(2));
        assertThat(bound.admits(CELL, ORDINARY_BYTES), equalTo(true));
        assertThat("another cell", bound.admits("other", LARGE_BYTES), equalTo(true));
        runtime.advance(3_000);
        assertThat(bound.admits(CELL, LARGE_BYTES), equalTo(true));
    }

    @Test
    void singleSubmissionOfAnySizeIsAcceptedForAnIdleCell() {
        register(60);
        assertThat(bound.admits(CELL, BOUND_BYTES), equalTo(true));
        runtime.advance(3_000);
        publish(0, 0);
        assertThat(bound.admits(CELL, 2 * BOUND_BYTES), equalTo(true));
    }

    @Test
    void ordinarySubmissionsAreAcceptedBesideLargeOnesThatWait() {
        register(3);
        publish(300, 80);
        assertThat(bound.admits(CELL, LARGE_BYTES), equalTo(false));
        assertThat(bound.admits(CELL, ORDINARY_BYTES), equalTo(true));
        publish(300, 100);
        assertThat(bound.admits(CELL, ORDINARY_BYTES), equalTo(false));
    }

    @Test
    void ownerOfAnEarlierReleaseIsFullForAll() {
        register(3);
        publish(100, null);
        assertThat(bound.admits(CELL, LARGE_BYTES), equalTo(false));
        assertThat(bound.admits(CELL, ORDINARY_BYTES), equalTo(false));
    }

    /**
     * Registers VMs.
     *
     * @param count their number
     */
    private void register(int count) {
        StoreTransaction commit = new StoreTransaction();
        for (int number = 0; number < count; number++) {
            String node = "vm" + number;
            commit.put(
                    CellKeys.NODE_PREFIX + node,
                    StoredValueCodec.encode(
                            new NodeRecord(node, node, "zone", true, 1_000, 0, "", true)));
        }
        store.commit(commit);
        view.start();
        runtime.advance(500);
    }

    /**
     * Publishes the use of the cell's memory.
     *
     * @param memoryPercent the use by all submissions, in percent
     * @param ordinaryPercent the use without large ones that wait, in percent, or null
     */
    private void publish(int memoryPercent, @Nullable Integer ordinaryPercent) {
        PendingRecord record =
                new PendingRecord(
                        Map.of(),
                        List.of(),
                        1,
                        List.of(),
                        List.of(),
                        null,
                        memoryPercent,
                        ordinaryPercent);
        store.commit(
                new StoreTransaction()
                        .put(CellKeys.pending(CELL), StoredValueCodec.encode(record)));
        runtime.advance(2_000);
    }
}
