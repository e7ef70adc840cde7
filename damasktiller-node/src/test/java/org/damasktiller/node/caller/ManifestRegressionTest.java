package org.damasktiller.node.caller;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.equalTo;
import static org.hamcrest.Matchers.everyItem;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.hasItem;
import static org.hamcrest.Matchers.notNullValue;
import static org.hamcrest.Matchers.nullValue;

import io.activej.http.HttpHeaders;
import io.activej.http.HttpResponse;
import java.util.ArrayList;
import java.util.List;
import org.damasktiller.node.cluster.TestManifests;
import org.damasktiller.scheduler.port.StoreTransaction;
import org.damasktiller.standin.metadata.InMemoryStore;
import org.damasktiller.standin.time.VirtualTimeRuntime;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/**
 * Replays a fault in which the store does not answer one VM while the operator adds a queue, and
 * answers it again before its watches have noticed.
 */
final class ManifestRegressionTest {

    private static final int OK = 200;

    private static final int NOT_FOUND = 404;

    private static final int SERVICE_UNAVAILABLE = 503;

    private static final int GATEWAY_TIMEOUT = 504;

    private final VirtualTimeRuntime runtime = new VirtualTimeRuntime();

    private final InMemoryStore store = new InMemoryStore(runtime);

    /** The VM whose calls the store does not answer for a while. */
    private final TestVm vm = new TestVm("vm", store, runtime);

    private final TestVm peer = new TestVm("peer", store, runtime);

    @BeforeEach
    void start() {
        vm.peers.add(peer);
        write(1, List.of("old"));
        runtime.advance(3_000);
        assertThat(vm.count("old").getCode(), equalTo(OK));
    }

    // The VM answered 404 for a queue that it had answered for through a peer.
    @Test
    void vmDoesNotForgetAQueueThatAPeerHasAnsweredFor() {
        addQueueWhileStoreIsSilent();
        assertThat(vm.count("new").getCode(), equalTo(OK));
        answerAgain();
        List<Integer> statuses = new ArrayList<>();
        for (int millis = 0; millis < 3_000; millis += 10) {
            statuses.add(vm.count("new").getCode());
            runtime.advance(10);
        }
        assertThat(statuses, everyItem(equalTo(OK)));
    }

    @Test
    void vmReadsTheVersionOfItsPeersAtOnce() {
        addQueueWhileStoreIsSilent();
        vm.count("new");
        answerAgain();
        runtime.advance(200);
        assertThat(vm.version(), equalTo(2L));
    }

    // No peer takes the request, and the own manifest would say that there is no such queue.
    @Test
    void requestIsRefusedIfNeitherPeersNorTheOwnManifestMayAnswerIt() {
        addQueueWhileStoreIsSilent();
        vm.count("new");
        vm.readsSilent = true;
        answerAgain();
        vm.peers.clear();
        HttpResponse response = vm.count("new");
        assertThat(response.getCode(), equalTo(SERVICE_UNAVAILABLE));
        assertThat(response.getHeader(HttpHeaders.RETRY_AFTER), notNullValue());
        vm.storeSilent = true;
        runtime.advance(2_000);
        assertThat(vm.count("new").getCode(), equalTo(SERVICE_UNAVAILABLE));
    }

    @Test
    void requestsGoToPeersForABoundedTimeWhileTheManifestCanNotBeRead() {
        addQueueWhileStoreIsSilent();
        vm.count("new");
        vm.readsSilent = true;
        answerAgain();
        runtime.advance(2_000);
        assertThat(vm.count("new").getCode(), equalTo(OK));
        runtime.advance(4_000);
        int relayedBefore = peer.relayedCount;
        assertThat(vm.count("new").getCode(), equalTo(SERVICE_UNAVAILABLE));
        assertThat(peer.relayedCount, equalTo(relayedBefore));
        vm.readsSilent = false;
        runtime.advance(2_000);
        assertThat(vm.count("new").getCode(), equalTo(OK));
    }

    // The peer answered by the version before that of the VM.
    @Test
    void peerWithAnOlderManifestRefusesAndReadsTheNewOne() {
        peer.watchesSilent = true;
        runtime.advance(2_000);
        write(2, List.of("old", "new"));
        runtime.advance(500);
        assertThat(vm.count("new").getCode(), equalTo(OK));
        assertThat(peer.version(), equalTo(1L));
        vm.storeSilent = true;
        runtime.advance(2_500);
        List<Integer> statuses = new ArrayList<>();
        for (int millis = 0; millis < 4_000; millis += 10) {
            statuses.add(vm.count("new").getCode());
            runtime.advance(10);
        }
        assertThat(statuses.contains(NOT_FOUND), equalTo(false));
        assertThat(statuses, hasItem(OK));
        assertThat(peer.version(), equalTo(2L));
        assertThat(peer.relayedCount, greaterThan(1));
    }

    // During a rolling restart a peer of the release before names no version.
    @Test
    void answerWithoutAVersionIsPassedOnAndChangesNothing() {
        peer.earlierRelease = true;
        addQueueWhileStoreIsSilent();
        assertThat(vm.count("new").getCode(), equalTo(OK));
        answerAgain();
        HttpResponse response = vm.count("old");
        assertThat(response.getCode(), equalTo(OK));
        assertThat(response.getHeader(HttpHeaders.RETRY_AFTER), nullValue());
    }

    // The VM answered 404 for a queue to which a peer may have taken a submission for it.
    @Test
    void vmDoesNotDenyAQueueThatAPeerMayHaveAnsweredFor() {
        peer.answersLost = true;
        addQueueWhileStoreIsSilent();
        assertThat(vm.count("new").getCode(), equalTo(GATEWAY_TIMEOUT));
        answerAgain();
        HttpResponse response = vm.count("new");
        assertThat(response.getCode(), equalTo(SERVICE_UNAVAILABLE));
        assertThat(response.getHeader(HttpHeaders.RETRY_AFTER), notNullValue());
        assertThat(vm.count("old").getCode(), equalTo(OK));
        vm.watchesSilent = false;
        runtime.advance(2_000);
        assertThat(vm.count("new").getCode(), equalTo(OK));
        assertThat(vm.count("other").getCode(), equalTo(NOT_FOUND));
    }

    // A second peer, which has not received the new version, denied the queue.
    @Test
    void answerOfALaterPeerDoesNotDenyTheQueueEither() {
        peer.answersLost = true;
        TestVm laterPeer = new TestVm("later-peer", store, runtime);
        runtime.advance(500);
        laterPeer.watchesSilent = true;
        runtime.advance(2_000);
        addQueueWhileStoreIsSilent();
        assertThat(vm.count("new").getCode(), equalTo(GATEWAY_TIMEOUT));
        vm.peers.set(0, laterPeer);
        assertThat(laterPeer.version(), equalTo(1L));
        assertThat(vm.count("new").getCode(), equalTo(SERVICE_UNAVAILABLE));
    }

    /** Silences the store for the VM until it has noticed, and adds a queue. */
    private void addQueueWhileStoreIsSilent() {
        vm.storeSilent = true;
        runtime.advance(2_500);
        write(2, List.of("old", "new"));
        runtime.advance(500);
    }

    /** Lets the store answer the VM again, but not its watches. */
    private void answerAgain() {
        vm.watchesSilent = true;
        vm.storeSilent = false;
        runtime.advance(1_200);
    }

    private void write(long version, List<String> routes) {
        store.commit(
                new StoreTransaction()
                        .put(
                                TestManifests.KEY,
                                TestManifests.encode(TestManifests.of(version, routes))));
    }
}
