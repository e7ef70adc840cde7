package org.damasktiller.node.caller;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.equalTo;
import static org.hamcrest.Matchers.hasSize;

import com.fasterxml.jackson.databind.node.MissingNode;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import org.damasktiller.scheduler.cell.TombstoneCause;
import org.damasktiller.standin.time.VirtualTimeRuntime;
import org.junit.jupiter.api.Test;

/**
 * Replays a fault in which the store rejects the calls of the VMs of one zone and serves the
 * others. This VM is in zone a; the link to zone c is narrow.
 */
final class CallerRelayTest {

    /** The regions by zone. */
    private static final Map<String, String> REGIONS =
            Map.of("a", "north", "b", "north", "c", "south");

    /** The other VMs. */
    private static final List<RelayPeer> PEERS =
            List.of(
                    new RelayPeer("c-1", "c", "10.0.3.1:1"),
                    new RelayPeer("b-1", "b", "10.0.2.1:1"),
                    new RelayPeer("a-2", "a", "10.0.1.2:1"));

    /** A response that says that the request had no effect. */
    private static final RelayResult REJECTED =
            new RelayResult(CallerResponse.notExecuted("the store refused"), 0, true, "");

    /** A response to a submission that was stored. */
    private static final RelayResult ACCEPTED =
            new RelayResult(CallerResponse.accepted(), 0, true, "");

    /** The clock, which the tests advance. */
    private final VirtualTimeRuntime runtime = new VirtualTimeRuntime();

    /** What each peer answers, by its name. */
    private final Map<String, RelayResult> results = new HashMap<>();

    /** The names of the peers to which requests were sent, in order. */
    private final List<String> sentTo = new ArrayList<>();

    /** The timeouts that were sent with the requests, in milliseconds. */
    private final List<Long> timeouts = new ArrayList<>();

    /** The responses to the caller. */
    private final List<CallerResponse> responses = new ArrayList<>();

    /** How often this VM handled a request itself. */
    private int fallbacks;

    /** The relay under test. */
    private final CallerRelay relay =
            new CallerRelay(
                    () -> PEERS,
                    new RelayPeerSelector("a", REGIONS),
                    this::send,
                    TestVm.floorWithoutManifest(runtime),
                    runtime,
                    (event, fields) -> {});

    /** The calls of the other VM of the zone are rejected as well. */
    @Test
    void peerOfAnotherZoneServesWhatTheOwnZoneCannot() {
        results.put("a-2", REJECTED);
        results.put("b-1", ACCEPTED);
        submit();
        assertThat(sentTo, contains("a-2", "b-1"));
        assertThat(status(), equalTo(200));
    }

    @Test
    void peerThatCouldNotServeIsLeftOutForAWhile() {
        results.put("a-2", REJECTED);
        results.put("b-1", ACCEPTED);
        submit();
        sentTo.clear();
        runtime.advance(500);
        submit();
        assertThat(sentTo, contains("b-1"));
        runtime.advance(2_000);
        sentTo.clear();
        submit();
        assertThat(sentTo, contains("a-2", "b-1"));
    }

    /** The tombstone of a cancel is found by each peer. */
    @Test
    void cancelledSubmissionIsNotTriedElsewhere() {
        results.put(
                "a-2",
                new RelayResult(
                        CallerResponse.rejectedBefore(TombstoneCause.CANCELLED), 0, true, ""));
        results.put("b-1", ACCEPTED);
        submit();
        assertThat(sentTo, contains("a-2"));
        assertThat(status(), equalTo(503));
    }

    /** A peer that does not respond may have stored the submission; no other one is asked. */
    @Test
    void outcomeIsUnknownWithoutResponse() {
        results.put("a-2", new RelayResult(null, 0, true, "timeout"));
        results.put("b-1", ACCEPTED);
        submit();
        assertThat(sentTo, contains("a-2"));
        assertThat(status(), equalTo(504));
    }

    @Test
    void peerThatWasNotReachedIsFollowedByTheNext() {
        results.put("a-2", new RelayResult(null, 0, false, "connection refused"));
        results.put("b-1", ACCEPTED);
        submit();
        assertThat(status(), equalTo(200));
    }

    /** The store is away for all VMs: this one retries as long as it would without peers. */
    @Test
    void requestThatNoPeerCanServeIsHandledHere() {
        PEERS.forEach(peer -> results.put(peer.node(), REJECTED));
        submit();
        assertThat(responses, empty());
        assertThat(fallbacks, equalTo(1));
    }

    /** No peer could serve the submission, and none of them is at fault. */
    @Test
    void submissionThatNoWorkerCanHoldIsRejectedByTheFirstPeer() {
        results.put(
                "a-2",
                new RelayResult(CallerResponse.unservable("no worker holds it"), 0, true, ""));
        results.put("b-1", ACCEPTED);
        submit();
        submit();
        assertThat(sentTo, contains("a-2", "a-2"));
        assertThat(responses, hasSize(2));
        assertThat(responses.get(0).status(), equalTo(503));
        assertThat(fallbacks, equalTo(0));
    }

    @Test
    void peerGetsTheTimeThatIsLeft() {
        results.put("a-2", ACCEPTED);
        submit();
        assertThat(timeouts, contains(2_850L));
    }

    /**
     * Records a request and answers it.
     *
     * @param peer the peer
     * @param request the request
     * @param callback receives the result
     */
    private void send(RelayPeer peer, RelayedRequest request, Consumer<RelayResult> callback) {
        sentTo.add(peer.node());
        timeouts.add(request.timeoutMillis());
        callback.accept(results.get(peer.node()));
    }

    /** Passes a submission on. */
    private void submit() {
        relay.relay(
                new RelayedRequest(
                        "POST", "host", "/00000000000000a1", 3_000, 0, MissingNode.getInstance()),
                responses::add,
                () -> fallbacks++);
    }

    /**
     * Returns the status of the only response.
     *
     * @return the HTTP status code
     */
    private int status() {
        assertThat(responses, hasSize(1));
        return responses.get(0).status();
    }
}
