package org.damasktiller.node.caller;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.equalTo;

import io.activej.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.util.List;
import org.damasktiller.node.cluster.TestManifests;
import org.damasktiller.scheduler.port.StoreTransaction;
import org.damasktiller.standin.metadata.InMemoryStore;
import org.damasktiller.standin.time.VirtualTimeRuntime;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Sends submissions that no page allows to a VM, which handles them or passes them on. */
final class MalformedSubmissionTest {

    private static final int OK = 200;

    private static final int BAD_REQUEST = 400;

    private static final String VALID = "{\"steps\":[{\"count\":1}]}";

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
        runtime.advance(3_000);
    }

    @Test
    void callerIsToldTheFieldAndWhatIsAllowed() {
        assertRefused(
                "{\"steps\":[{\"count\":1},{\"count\":1,\"cpu\":-5}]}",
                "steps[1].cpu: must be an integer from 0 to 1000000000");
    }

    @Test
    void callerIsToldTheFieldByAPeer() {
        vm.storeSilent = true;
        runtime.advance(3_000);
        assertThat(vm.submit("queue", VALID).getCode(), equalTo(OK));
        assertThat(peer.relayedCount, equalTo(1));
        assertRefused(
                "{\"steps\":[{\"count\":4294967297}]}",
                "steps[0].count: must be an integer from 1 to 10000");
        assertThat(peer.relayedCount, equalTo(2));
    }

    // What followed the end of the JSON was left out when a submission was passed on.
    @Test
    void textAfterTheEndIsRefusedWhileThePeersServe() {
        vm.storeSilent = true;
        runtime.advance(3_000);
        assertRefused(VALID + VALID, "the body: not valid JSON: Trailing token");
        assertRefused(
                "{\"spec\":\"a\",\"spec\":\"b\",\"steps\":[{\"count\":1}]}",
                "the body: not valid JSON: Duplicate field");
    }

    private void assertRefused(String body, String reason) {
        HttpResponse response = vm.submit("queue", body);
        assertThat(response.getCode(), equalTo(BAD_REQUEST));
        assertThat(
                new String(response.getBody().getArray(), StandardCharsets.UTF_8),
                containsString(reason));
    }
}
