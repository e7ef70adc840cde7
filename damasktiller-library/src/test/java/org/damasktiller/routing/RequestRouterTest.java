package org.damasktiller.routing;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.greaterThanOrEqualTo;
import static org.hamcrest.Matchers.hasSize;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThan;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.damasktiller.error.ErrorCode;
import org.damasktiller.error.Outcome;
import org.damasktiller.identity.EndpointId;
import org.damasktiller.identity.RegionName;
import org.damasktiller.identity.ZoneName;
import org.damasktiller.table.Repeat;
import org.damasktiller.table.Spill;
import org.junit.jupiter.api.Test;

class RequestRouterTest {

    private static final RoutingSettings SETTINGS = RoutingSettings.DEFAULT;

    @Test
    void testSlotsAreNeverExceededAndTheRestWaits() {
        RouterWorld world = RouterWorld.withEndpoints(2, 3);
        for (int index = 0; index < 10; index++) {
            world.submit(Repeat.IDEMPOTENT, 10_000);
        }
        List<RoutingAction.Send> sends = world.takeSends();
        assertThat(sends, hasSize(6));
        assertThat(world.router.queuedRequests(), is(4));
        world.complete(sends.get(0), AttemptOutcome.ANSWERED);
        assertThat(world.all(RoutingAction.Send.class), hasSize(1));
    }

    @Test
    void testAtMostOnceIsClaimedFirstAndNeverSentTwice() {
        RouterWorld world = RouterWorld.withEndpoints(3, 8);
        long number = world.submit(Repeat.AT_MOST_ONCE, 5000);
        assertThat(world.all(RoutingAction.Send.class), is(empty()));
        assertThat(world.all(RoutingAction.Claim.class), hasSize(1));
        world.claimed(number, ClaimOutcome.GRANTED);
        world.advance(1000);
        world.complete(world.last(RoutingAction.Send.class), AttemptOutcome.BROKEN);
        world.advance(10_000);
        assertThat(world.all(RoutingAction.Send.class), hasSize(1));
        assertThat(
                world.last(RoutingAction.Refuse.class).error().outcome(),
                is(Outcome.OUTCOME_UNKNOWN));
    }

    @Test
    void testAtMostOnceIsNotSentAgainAfterADrainAnswerButIsNotRun() {
        RouterWorld world = RouterWorld.withEndpoints(3, 8);
        world.claimed(world.submit(Repeat.AT_MOST_ONCE, 5000), ClaimOutcome.GRANTED);
        world.complete(world.last(RoutingAction.Send.class), AttemptOutcome.DRAINING);
        world.advance(10_000);
        assertThat(world.all(RoutingAction.Send.class), hasSize(1));
        assertThat(world.last(RoutingAction.Refuse.class).error().outcome(), is(Outcome.NOT_RUN));
        assertThat(world.all(RoutingAction.ReportLeaving.class), hasSize(1));
    }

    @Test
    void testAtMostOnceWithoutAClaimIsNotSent() {
        for (ClaimOutcome claim : List.of(ClaimOutcome.ALREADY_CLAIMED, ClaimOutcome.UNAVAILABLE)) {
            RouterWorld world = RouterWorld.withEndpoints(3, 1);
            world.claimed(world.submit(Repeat.AT_MOST_ONCE, 5000), claim);
            assertThat(world.all(RoutingAction.Send.class), is(empty()));
            assertThat(world.all(RoutingAction.Refuse.class), hasSize(1));
            assertThat(world.router.unfinishedRequests(), is(0));
            assertThat(world.router.usedSlots(new EndpointId("e0"), 0), is(0));
        }
    }

    @Test
    void testClaimGrantedAfterTheDeadlineIsNotSent() {
        RouterWorld world = RouterWorld.withEndpoints(3, 1);
        long number = world.submit(Repeat.AT_MOST_ONCE, 100);
        world.advance(100);
        assertThat(world.last(RoutingAction.Refuse.class).error().outcome(), is(Outcome.NOT_RUN));
        world.claimed(number, ClaimOutcome.GRANTED);
        assertThat(world.all(RoutingAction.Send.class), is(empty()));
    }

    @Test
    void testFullOutageSendsAtMostATenthMore() {
        RouterWorld world = RouterWorld.withEndpoints(15, 8);
        int requests = 5000;
        int sent = 0;
        for (int index = 0; index < requests; index++) {
            world.submit(Repeat.IDEMPOTENT, 2000);
            List<RoutingAction.Send> sends = world.takeSends();
            sent += sends.size();
            sends.forEach(send -> world.complete(send, AttemptOutcome.NOT_SENT));
            world.advance(1);
        }
        assertThat(sent, lessThanOrEqualTo(requests * 11 / 10));
        assertThat(sent, greaterThan(requests));
    }

    @Test
    void testRequestGivenUpIsAnsweredAtOnce() {
        RouterWorld world = RouterWorld.withEndpoints(3, 8);
        world.submit(Repeat.IDEMPOTENT, 600_000);
        world.complete(world.last(RoutingAction.Send.class), AttemptOutcome.BROKEN);
        RoutingAction.Refuse refuse = world.last(RoutingAction.Refuse.class);
        assertThat(refuse.error().code(), is(ErrorCode.ENDPOINT_FAILED));
        assertThat(refuse.retryAfterMillis(), greaterThan(0L));
        assertThat(world.router.unfinishedRequests(), is(0));
    }

    @Test
    void testQueueRefusesAtOnceWhatWouldWaitTooLong() {
        RouterWorld world = RouterWorld.withEndpoints(1, 1);
        world.submit(Repeat.RESUMABLE, 10_000);
        world.advance(100);
        world.complete(world.takeSends().get(0), AttemptOutcome.ANSWERED);
        for (int index = 0; index < 20; index++) {
            world.submit(Repeat.RESUMABLE, 1000);
        }
        List<RoutingAction.Refuse> refused = world.all(RoutingAction.Refuse.class);
        assertThat(refused.size(), greaterThan(10));
        assertThat(refused.get(0).error().code(), is(ErrorCode.OVERLOADED));
        assertThat(refused.get(0).error().outcome(), is(Outcome.NOT_RUN));
        assertThat(refused.get(0).retryAfterMillis(), greaterThan(0L));
    }

    @Test
    void testWaitingRequestIsRefusedLongBeforeItsDeadline() {
        RouterWorld world = RouterWorld.withEndpoints(1, 1);
        world.submit(Repeat.RESUMABLE, 10_000);
        world.submit(Repeat.RESUMABLE, 1000);
        world.advance(500);
        assertThat(world.last(RoutingAction.Refuse.class).error().code(), is(ErrorCode.OVERLOADED));
    }

    @Test
    void testHedgeGoesToAnotherEndpointAndOneAnswerCounts() {
        RouterWorld world = RouterWorld.withEndpoints(3, 8);
        fillBudget(world, 20);
        world.submit(Repeat.IDEMPOTENT, 5000);
        world.advance(SETTINGS.hedgeFloorMillis());
        List<RoutingAction.Send> sends = world.takeSends();
        assertThat(sends, hasSize(2));
        assertThat(sends.get(0).endpoint().equals(sends.get(1).endpoint()), is(false));
        world.complete(sends.get(1), AttemptOutcome.ANSWERED);
        world.complete(sends.get(0), AttemptOutcome.ANSWERED);
        assertThat(world.all(RoutingAction.Deliver.class), hasSize(1));
        assertThat(world.last(RoutingAction.Abort.class).attempt(), is(sends.get(0).attempt()));
    }

    @Test
    void testOnlyIdempotentKindsAreHedged() {
        for (Repeat repeat : List.of(Repeat.AT_MOST_ONCE, Repeat.RESUMABLE)) {
            RouterWorld world = RouterWorld.withEndpoints(3, 8);
            fillBudget(world, 20);
            world.claimed(world.submit(repeat, 5000), ClaimOutcome.GRANTED);
            world.advance(4000);
            assertThat(world.all(RoutingAction.Send.class), hasSize(1));
        }
    }

    @Test
    void testLeavingEndpointGetsNothingNew() {
        RouterWorld world = RouterWorld.withEndpoints(3, 8);
        world.router.endpointLeaving(new EndpointId("e1"), 0);
        for (int index = 0; index < 16; index++) {
            world.submit(Repeat.RESUMABLE, 1000);
        }
        assertThat(perEndpoint(world.takeSends()).containsKey("e1"), is(false));
    }

    @Test
    void testSlowEndpointIsEjectedWithinTheCapAndReturnsSlowly() {
        RouterWorld world = RouterWorld.withEndpoints(10, 8);
        int slowShare = 0;
        for (int round = 0; round < 200; round++) {
            world.submit(Repeat.RESUMABLE, 10_000);
            RoutingAction.Send send = world.takeSends().get(0);
            boolean slow = send.endpoint().id().value().equals("e0");
            slowShare += slow ? 1 : 0;
            world.advance(slow ? 200 : 20);
            world.complete(send, AttemptOutcome.ANSWERED);
        }
        assertThat(slowShare, greaterThanOrEqualTo(1));
        assertThat(slowShare, lessThan(10));
    }

    @Test
    void testEjectedEndpointGetsNothingEvenWhenTheOthersAreFull() {
        RouterWorld world = RouterWorld.withEndpoints(5, 1);
        for (int round = 0; round < 12; round++) {
            for (int index = 0; index < 5; index++) {
                world.submit(Repeat.RESUMABLE, 10_000);
            }
            List<RoutingAction.Send> sends = world.takeSends();
            world.advance(20);
            sends.stream()
                    .filter(send -> !send.endpoint().id().value().equals("e0"))
                    .forEach(send -> world.complete(send, AttemptOutcome.ANSWERED));
            world.advance(180);
            sends.forEach(send -> world.complete(send, AttemptOutcome.ANSWERED));
            world.takeSends().forEach(s -> world.complete(s, AttemptOutcome.ANSWERED));
        }
        for (int index = 0; index < 8; index++) {
            world.submit(Repeat.RESUMABLE, 10_000);
        }
        Map<String, Integer> sent = perEndpoint(world.takeSends());
        assertThat(sent.containsKey("e0"), is(false));
        assertThat(sent.size(), is(4));
    }

    @Test
    void testStreamedAnswerGoesToTheCallerOnceAndFreesItsSlotAtTheEnd() {
        RouterWorld world = RouterWorld.withEndpoints(1, 1);
        world.submit(Repeat.RESUMABLE, 60_000);
        RoutingAction.Send send = world.takeSends().get(0);
        world.actions.addAll(world.router.answering(send.number(), send.attempt(), 0));
        assertThat(world.all(RoutingAction.Deliver.class), hasSize(1));
        world.advance(SETTINGS.attemptTimeoutMillis() * 2);
        assertThat(world.router.usedSlots(new EndpointId("e0"), world.now), is(1));
        world.complete(send, AttemptOutcome.BROKEN);
        assertThat(world.actions, hasSize(1));
        assertThat(world.router.usedSlots(new EndpointId("e0"), world.now), is(0));
        assertThat(world.router.unfinishedRequests(), is(0));
    }

    @Test
    void testEjectionStopsAtTheCap() {
        RouterWorld world = RouterWorld.withEndpoints(10, 8);
        for (int round = 0; round < 400; round++) {
            world.submit(Repeat.RESUMABLE, 10_000);
            world.takeSends().forEach(send -> world.complete(send, AttemptOutcome.BROKEN));
            world.now++;
        }
        world.actions.clear();
        for (int round = 0; round < 400; round++) {
            world.submit(Repeat.RESUMABLE, 10_000);
            world.all(RoutingAction.Send.class);
        }
        assertThat(perEndpoint(world.takeSends()).size(), is(7));
    }

    @Test
    void testSpillFollowsTheTable() {
        EndpointDescription near =
                RouterWorld.endpoint("near", RouterWorld.ZONE, RouterWorld.REGION, 1);
        EndpointDescription region =
                RouterWorld.endpoint("region", new ZoneName("leinster-2"), RouterWorld.REGION, 1);
        EndpointDescription far =
                RouterWorld.endpoint(
                        "far", new ZoneName("connacht-1"), new RegionName("connacht"), 1);
        assertThat(destinations(Spill.NONE, near, region, far), is(List.of("near")));
        assertThat(destinations(Spill.REGION, near, region, far), is(List.of("near", "region")));
        assertThat(destinations(Spill.ANY, near, region, far), is(List.of("near", "region")));
        assertThat(destinations(Spill.ANY, far), is(List.of("far")));
        assertThat(destinations(Spill.REGION, far), is(List.of()));
    }

    @Test
    void testCancelledRequestThatWaitsIsNeverSent() {
        RouterWorld world = RouterWorld.withEndpoints(1, 1);
        world.submit(Repeat.RESUMABLE, 10_000);
        long waiting = world.submit(Repeat.RESUMABLE, 10_000);
        world.actions.addAll(world.router.cancelled(waiting, 0));
        world.complete(world.takeSends().get(0), AttemptOutcome.ANSWERED);
        assertThat(world.all(RoutingAction.Send.class), is(empty()));
        assertThat(world.router.unfinishedRequests(), is(0));
    }

    @Test
    void testDrainFinishesWhatWasAcceptedAndRefusesTheRest() {
        RouterWorld world = RouterWorld.withEndpoints(1, 1);
        world.submit(Repeat.RESUMABLE, 10_000);
        world.submit(Repeat.RESUMABLE, 10_000);
        world.router.drain();
        world.submit(Repeat.RESUMABLE, 10_000);
        assertThat(world.last(RoutingAction.Refuse.class).error().code(), is(ErrorCode.DRAINING));
        world.complete(world.takeSends().get(0), AttemptOutcome.ANSWERED);
        world.complete(world.last(RoutingAction.Send.class), AttemptOutcome.ANSWERED);
        assertThat(world.all(RoutingAction.Deliver.class), hasSize(2));
        assertThat(world.router.unfinishedRequests(), is(0));
    }

    @Test
    void testLateAnswerAfterTheDeadlineIsDropped() {
        RouterWorld world = RouterWorld.withEndpoints(1, 1);
        world.submit(Repeat.RESUMABLE, 100);
        RoutingAction.Send send = world.last(RoutingAction.Send.class);
        world.advance(100);
        assertThat(world.last(RoutingAction.Abort.class).attempt(), is(send.attempt()));
        world.complete(send, AttemptOutcome.ANSWERED);
        assertThat(world.all(RoutingAction.Deliver.class), is(empty()));
    }

    private static void fillBudget(RouterWorld world, int requests) {
        for (int index = 0; index < requests; index++) {
            world.submit(Repeat.RESUMABLE, 1000);
            world.takeSends().forEach(s -> world.complete(s, AttemptOutcome.ANSWERED));
            world.actions.clear();
        }
    }

    private static List<String> destinations(Spill spill, EndpointDescription... endpoints) {
        RouterWorld world = new RouterWorld(SETTINGS, endpoints);
        for (int index = 0; index < 4; index++) {
            world.submit(RouterWorld.kind(Repeat.RESUMABLE, spill), 10_000);
        }
        return world.takeSends().stream().map(send -> send.endpoint().id().value()).toList();
    }

    private static Map<String, Integer> perEndpoint(List<RoutingAction.Send> sends) {
        Map<String, Integer> counts = new HashMap<>();
        sends.forEach(send -> counts.merge(send.endpoint().id().value(), 1, Integer::sum));
        return counts;
    }
}
