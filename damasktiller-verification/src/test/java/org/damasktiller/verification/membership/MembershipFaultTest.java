package org.damasktiller.verification.membership;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.damasktiller.identity.EndpointId;
import org.damasktiller.identity.RackName;
import org.damasktiller.identity.VmId;
import org.damasktiller.identity.ZoneName;
import org.damasktiller.membership.MemberStatus;
import org.damasktiller.standin.network.GossipFleet;
import org.damasktiller.standin.network.VirtualNetwork;
import org.damasktiller.standin.time.VirtualTime;
import org.damasktiller.vm.VmRecord;
import org.damasktiller.vm.VmRole;
import org.damasktiller.vm.VmState;
import org.junit.jupiter.api.Test;

class MembershipFaultTest {

    private static final ZoneName ZONE = new ZoneName("leinster-1");
    private static final long SECOND = 1000;
    private static final long MARK_SPREAD_TARGET = 3 * SECOND;
    private static final int BUDGET_BYTES_PER_SECOND = 2_000;

    private final VirtualTime time = new VirtualTime(1_000_000);
    private final VirtualNetwork network = new VirtualNetwork(time, 5);
    private final GossipFleet fleet = new GossipFleet(time, network, ZONE, 7);
    private final List<GossipFleet.Observation> deaths = new ArrayList<>();

    @Test
    void testMembersJoinThroughOneSeed() {
        startMembers(9);
        assertThat(fleet.agreed(), is(true));
    }

    @Test
    void testKilledMemberIsFoundDead() {
        startMembers(9);
        fleet.kill(id(4));
        time.pass(20 * SECOND);
        assertThat(fleet.agreed(), is(true));
    }

    @Test
    void testLossAndShortPausesKillNobody() {
        startMembers(20);
        observeDeaths();
        network.loss(0.05);
        for (int round = 0; round < 30; round++) {
            fleet.pause(id(round % 20), 2 * SECOND);
            time.pass(5 * SECOND);
        }
        assertThat(deaths, empty());
        network.loss(0);
        time.pass(20 * SECOND);
        assertThat(fleet.agreed(), is(true));
    }

    @Test
    void testMemberPausedForLongIsDeadAndComesBack() {
        startMembers(9);
        observeDeaths();
        fleet.pause(id(3), 30 * SECOND);
        time.pass(29 * SECOND);
        assertThat(deaths.stream().allMatch(death -> death.subject().id().equals(id(3))), is(true));
        assertThat(deaths.size(), is(8));
        time.pass(30 * SECOND);
        assertThat(deaths.size(), is(8));
        assertThat(fleet.agreed(), is(true));
    }

    @Test
    void testRestartAtTheSameAddressIsLive() {
        startMembers(9);
        fleet.kill(id(2));
        time.pass(SECOND);
        fleet.start(id(2), Set.of(id(0)));
        time.pass(10 * SECOND);
        assertThat(fleet.agreed(), is(true));
        assertThat(fleet.member(id(5)).present().get(2).incarnation(), greaterThan(1_000_000L));
    }

    @Test
    void testOneWayLossKillsNobody() {
        startMembers(9);
        observeDeaths();
        network.cut(List.of(id(1)), List.of(id(2), id(3)));
        time.pass(60 * SECOND);
        assertThat(deaths, empty());
    }

    @Test
    void testMemberThatNobodyHearsIsDeadAndComesBack() {
        startMembers(9);
        network.cut(List.of(id(1)), others(1));
        time.pass(30 * SECOND);
        assertThat(present(5), is(others(1)));
        network.heal();
        time.pass(30 * SECOND);
        assertThat(fleet.agreed(), is(true));
    }

    @Test
    void testSplitZoneHeals() {
        startMembers(9);
        List<VmId> left = fleet.running().subList(0, 4);
        List<VmId> right = fleet.running().subList(4, 9);
        network.cut(left, right);
        network.cut(right, left);
        time.pass(40 * SECOND);
        assertThat(present(0), is(left));
        assertThat(present(8), is(right));
        network.heal();
        time.pass(60 * SECOND);
        assertThat(fleet.agreed(), is(true));
    }

    @Test
    void testLeavingMarksReachAllWithinThreeSeconds() {
        startMembers(60);
        EndpointId endpoint = new EndpointId("endpoint-7");
        network.loss(0.05);
        fleet.call(id(11), member -> member.startLeaving(time.nowMillis()));
        fleet.call(id(12), member -> member.markEndpoint(endpoint, 9, true, time.nowMillis()));
        time.pass(MARK_SPREAD_TARGET);
        for (VmId id : fleet.running()) {
            assertThat(fleet.member(id).endpointLeaving(endpoint), is(true));
            assertThat(statusOf(id(11), id), is(MemberStatus.LEAVING));
        }
    }

    @Test
    void testLeavingMemberThatCrashesIsFoundDead() {
        startMembers(9);
        fleet.call(id(4), member -> member.startLeaving(time.nowMillis()));
        time.pass(2 * SECOND);
        fleet.kill(id(4));
        time.pass(30 * SECOND);
        assertThat(fleet.agreed(), is(true));
    }

    @Test
    void testMemberThatLeftIsGoneAtOnce() {
        startMembers(9);
        observeDeaths();
        fleet.call(id(4), member -> member.leave(time.nowMillis()));
        fleet.kill(id(4));
        time.pass(3 * SECOND);
        assertThat(fleet.agreed(), is(true));
        assertThat(deaths, empty());
    }

    @Test
    void testRollingReplacementOfAllMembers() {
        startMembers(9);
        for (int index = 0; index < 9; index++) {
            VmId old = id(index);
            fleet.call(old, member -> member.startLeaving(time.nowMillis()));
            fleet.start(id(100 + index), Set.copyOf(fleet.running()));
            time.pass(5 * SECOND);
            fleet.call(old, member -> member.leave(time.nowMillis()));
            fleet.kill(old);
            time.pass(5 * SECOND);
            assertThat("after replacement " + index, fleet.agreed(), is(true));
        }
        assertThat(fleet.running().get(0), is(id(100)));
    }

    @Test
    void testLaggingListIsMerged() {
        startMembers(3);
        fleet.start(id(50), Set.of());
        time.pass(5 * SECOND);
        assertThat(fleet.agreed(), is(false));
        fleet.kill(id(2));
        time.pass(20 * SECOND);
        fleet.call(
                id(0),
                member ->
                        member.onDirectory(
                                List.of(
                                        listed(2, VmState.LIVE),
                                        listed(50, VmState.LIVE),
                                        listed(1, VmState.LEAVING)),
                                time.nowMillis()));
        time.pass(20 * SECOND);
        assertThat(fleet.agreed(), is(true));
        assertThat(statusOf(id(1), id(50)), is(MemberStatus.LEAVING));
    }

    @Test
    void testListedAsGoneIsRefutedByALiveMember() {
        startMembers(3);
        fleet.call(
                id(0),
                member -> member.onDirectory(List.of(listed(1, VmState.GONE)), time.nowMillis()));
        time.pass(20 * SECOND);
        assertThat(fleet.agreed(), is(true));
        assertThat(fleet.member(id(1)).counters().refutations(), greaterThan(0L));
    }

    @Test
    void testBudgetHoldsThroughLossPausesAndReplacement() {
        startMembers(60);
        network.loss(0.05);
        List<Long> before = sentBytes();
        for (int round = 0; round < 30; round++) {
            fleet.pause(id(20 + round), 2 * SECOND);
            fleet.kill(id(round % 10));
            fleet.start(id(round % 10), Set.of(id(59), id(58)));
            time.pass(2 * SECOND);
        }
        List<Long> after = sentBytes();
        for (int index = 10; index < 60; index++) {
            long sent = after.get(index) - before.get(index);
            assertThat(sent / 60, lessThanOrEqualTo((long) BUDGET_BYTES_PER_SECOND));
        }
        time.pass(60 * SECOND);
        network.loss(0);
        time.pass(30 * SECOND);
        assertThat(fleet.agreed(), is(true));
    }

    private void startMembers(int count) {
        Set<VmId> seeds = new HashSet<>(Set.of(id(0)));
        for (int index = 0; index < count; index++) {
            fleet.start(id(index), seeds);
        }
        time.pass(30 * SECOND);
    }

    private void observeDeaths() {
        fleet.observe(
                observation -> {
                    if (observation.subject().status() == MemberStatus.DEAD) {
                        deaths.add(observation);
                    }
                });
    }

    private List<Long> sentBytes() {
        return fleet.running().stream().map(id -> fleet.member(id).counters().sentBytes()).toList();
    }

    private List<VmId> present(int observer) {
        return fleet.member(id(observer)).present().stream().map(each -> each.id()).toList();
    }

    private List<VmId> others(int without) {
        return fleet.running().stream().filter(each -> !each.equals(id(without))).toList();
    }

    private MemberStatus statusOf(VmId subject, VmId observer) {
        return fleet.member(observer).present().stream()
                .filter(member -> member.id().equals(subject))
                .findFirst()
                .orElseThrow()
                .status();
    }

    private static VmRecord listed(int index, VmState state) {
        VmId id = id(index);
        return new VmRecord(
                id.value(), id.value(), ZONE, new RackName("rack-1"), VmRole.ENTRY, state);
    }

    private static VmId id(int index) {
        return new VmId(String.format(java.util.Locale.ROOT, "10.1.0.%03d:7000", index));
    }
}
