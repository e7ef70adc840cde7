package org.damasktiller.node.caller;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.equalTo;
import static org.hamcrest.Matchers.notNullValue;

import io.activej.http.HttpHeaders;
import io.activej.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import org.damasktiller.node.cluster.TestManifests;
import org.damasktiller.scheduler.cell.CellKeys;
import org.damasktiller.scheduler.cell.PendingRecord;
import org.damasktiller.scheduler.cell.StoredValueCodec;
import org.damasktiller.scheduler.port.StoreTransaction;
import org.damasktiller.standin.metadata.InMemoryStore;
import org.damasktiller.standin.time.VirtualTimeRuntime;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/**
 * Replays faults in which a VM does not receive the counts of pending submissions that the owners
 * publish. A count that it gives is at most 2 s old.
 */
final class CountAgeTest {

    private static final int OK = 200;

    private static final int SERVICE_UNAVAILABLE = 503;

    /** Two cells, so that a count is a sum. */
    private static final List<String> CELLS = List.of("cell-a", "cell-b");

    private final VirtualTimeRuntime runtime = new VirtualTimeRuntime();

    private final InMemoryStore store = new InMemoryStore(runtime);

    private final TestVm vm = new TestVm("vm", store, runtime);

    private final TestVm peer = new TestVm("peer", store, runtime);

    @BeforeEach
    void start() {
        vm.peers.add(peer);
        store.commit(
                new StoreTransaction()
                        .put(
                                TestManifests.KEY,
                                TestManifests.encode(TestManifests.of(1, List.of("queue")))));
        publish(1);
        runtime.advance(3_000);
        assertCount(2);
    }

    // The VM gave the count of its peer, and then the one from before the fault again.
    @Test
    void vmGivesNoOlderCountThanItsPeerGave() {
        vm.storeSilent = true;
        runtime.advance(2_500);
        publish(20);
        runtime.advance(500);
        assertCount(40);
        vm.watchesSilent = true;
        vm.storeSilent = false;
        runtime.advance(1_200);
        for (int millis = 0; millis < 3_000; millis += 50) {
            assertCount(40);
            runtime.advance(50);
        }
    }

    // A watch that was not answered for long left the count as it was.
    @Test
    void countIsReadWhileTheWatchIsNotAnswered() {
        vm.watchesSilent = true;
        runtime.advance(3_000);
        publish(20);
        assertCount(40);
    }

    // The store answers renewals of the lease only.
    @Test
    void countThatCanNotBeReadIsRefused() {
        vm.watchesSilent = true;
        vm.listingsSilent = true;
        runtime.advance(3_000);
        assertThat(vm.count("queue").getCode(), equalTo(SERVICE_UNAVAILABLE));
    }

    @Test
    void countIsRefusedAtOnceWhileTheStoreAnswersNobody() {
        vm.storeSilent = true;
        peer.storeSilent = true;
        runtime.advance(4_000);
        long askedMillis = runtime.nowMillis();
        HttpResponse response = vm.count("queue");
        assertThat(response.getCode(), equalTo(SERVICE_UNAVAILABLE));
        assertThat(response.getHeader(HttpHeaders.RETRY_AFTER), notNullValue());
        assertThat(runtime.nowMillis(), equalTo(askedMillis));
    }

    @Test
    void countsCostNoCallsWhileTheWatchIsAnswered() {
        int listingsBefore = vm.listingCount;
        for (int millis = 0; millis < 10_000; millis += 50) {
            assertCount(2);
            runtime.advance(50);
        }
        assertThat(vm.listingCount, equalTo(listingsBefore));
    }

    private void publish(int count) {
        for (String cell : CELLS) {
            PendingRecord record =
                    new PendingRecord(
                            Map.of("queue", count), List.of(), 1, List.of(), List.of(), null, 0, 0);
            store.commit(
                    new StoreTransaction()
                            .put(CellKeys.pending(cell), StoredValueCodec.encode(record)));
        }
    }

    private void assertCount(int count) {
        HttpResponse response = vm.count("queue");
        assertThat(response.getCode(), equalTo(OK));
        assertThat(
                response.getBody().getString(StandardCharsets.UTF_8),
                equalTo("{\"pending\":" + count + "}"));
    }
}
