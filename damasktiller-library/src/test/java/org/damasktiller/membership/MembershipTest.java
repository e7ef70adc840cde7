package org.damasktiller.membership;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.hasItem;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.not;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.Set;
import org.damasktiller.identity.VmId;
import org.damasktiller.membership.MembershipAction.MemberChanged;
import org.junit.jupiter.api.Test;

class MembershipTest {

    private static final VmId SELF = new VmId("10.0.0.1:7000");
    private static final VmId PEER = new VmId("10.0.0.2:7000");
    private static final int MESSAGE_BYTES = 80;
    private static final long TICK = 100;

    private final Membership membership =
            new Membership(
                    SELF,
                    1,
                    Set.of(),
                    MembershipSettings.STANDARD,
                    message -> MESSAGE_BYTES,
                    new Random(3));
    private long now = 10_000;

    @Test
    void testSilentMemberIsSuspectedThenDead() {
        hear(GossipType.PING, 1);
        assertThat(tick(11), hasItem(MemberStatus.SUSPECT));
        assertThat(tick(39), not(hasItem(MemberStatus.DEAD)));
        assertThat(tick(1), hasItem(MemberStatus.DEAD));
    }

    @Test
    void testOwnPauseDoesNotKillASuspectedMember() {
        hear(GossipType.PING, 1);
        assertThat(tick(11), hasItem(MemberStatus.SUSPECT));
        now += 60_000;
        assertThat(tick(1), is(List.of()));
        hear(GossipType.PING, 2);
        assertThat(statuses(), is(List.of(MemberStatus.LIVE, MemberStatus.LIVE)));
    }

    @Test
    void testOlderIncarnationChangesNothing() {
        hear(GossipType.PING, 5);
        assertThat(hear(GossipType.PING, 4), is(List.of()));
        assertThat(membership.present().get(1).incarnation(), is(5L));
    }

    private List<MemberStatus> statuses() {
        return membership.present().stream().map(MemberRecord::status).toList();
    }

    private List<MemberStatus> tick(int count) {
        List<MemberStatus> changes = new ArrayList<>();
        for (int index = 0; index < count; index++) {
            changes.addAll(changes(membership.onTick(now)));
            now += TICK;
        }
        return changes;
    }

    private List<MemberStatus> hear(GossipType type, long incarnation) {
        GossipMessage message =
                new GossipMessage(type, PEER, incarnation, false, 0, null, null, 0, 0, List.of());
        return changes(membership.onMessage(message, MESSAGE_BYTES, now));
    }

    private static List<MemberStatus> changes(List<MembershipAction> actions) {
        List<MemberStatus> changes = new ArrayList<>();
        for (MembershipAction action : actions) {
            if (action instanceof MemberChanged change) {
                changes.add(change.after().status());
            }
        }
        return changes;
    }
}
