package org.damasktiller.routing.share;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.damasktiller.identity.EndpointId;
import org.damasktiller.identity.RegionName;
import org.damasktiller.identity.VmId;
import org.damasktiller.identity.ZoneName;
import org.damasktiller.routing.EndpointDescription;
import org.junit.jupiter.api.Test;

class ShareLedgerTest {

    private static final ShareSettings SETTINGS = new ShareSettings(3, 100, 60);
    private static final long ATTEMPT_MILLIS = 50;
    private static final EndpointDescription ENDPOINT =
            new EndpointDescription(
                    new EndpointId("endpoint-0"),
                    "127.0.0.1:1",
                    new ZoneName("z"),
                    new RegionName("r"),
                    8,
                    64,
                    false);

    @Test
    void testLoneMemberGetsThePoolOnceEarlierGrantsHaveLapsed() {
        ShareLedger ledger = ledger(1, 0);
        ShareHolder holder = new ShareHolder(SETTINGS, new VmId("a"), 0, 0);
        exchange(ledger, holder, 8, 159);
        assertThat(holder.slots(ENDPOINT, 159), is(1));
        exchange(ledger, holder, 8, 160);
        assertThat(holder.slots(ENDPOINT, 160), is(6));
        assertThat(holder.connections(ENDPOINT, 160), is(48));
        assertThat(holder.slots(ENDPOINT, 260), is(1));
    }

    @Test
    void testShareGrowsOnlyAfterTheOtherAcknowledgedItsSmallerOne() {
        ShareLedger ledger = ledger(1, -160);
        ShareHolder first = new ShareHolder(SETTINGS, new VmId("a"), 0, 0);
        ShareHolder second = new ShareHolder(SETTINGS, new VmId("b"), 1, 0);
        exchange(ledger, first, 8, 0);
        exchange(ledger, second, 8, 1);
        assertThat(second.slots(ENDPOINT, 1), is(1));
        exchange(ledger, first, 8, 2);
        assertThat(first.slots(ENDPOINT, 2), is(4));
        exchange(ledger, second, 8, 3);
        assertThat(second.slots(ENDPOINT, 3), is(1));
        exchange(ledger, first, 8, 4);
        exchange(ledger, second, 8, 5);
        assertThat(second.slots(ENDPOINT, 5), is(3));
    }

    @Test
    void testLedgerWithoutCertainOwnershipGrantsNothing() {
        ShareLedger ledger = ledger(1, -160);
        ShareHolder holder = new ShareHolder(SETTINGS, new VmId("a"), 0, 0);
        ShareRequest request = request(holder, 0, 8, 10);
        assertThat(ledger.request(request, 10, 10).isPresent(), is(false));
    }

    @Property(tries = 300, seed = "20261203")
    void testUseNeverExceedsTheSlotsWhileMembersComeAndGo(@ForAll long seed) {
        World world = new World(new SplittableRandom(seed));
        for (int step = 0; step < 1000; step++) {
            world.step();
            assertThat("step " + step, world.used(), lessThanOrEqualTo(ENDPOINT.slots()));
        }
    }

    private static ShareLedger ledger(long generation, long ownedSinceMillis) {
        ShareLedger ledger = new ShareLedger(SETTINGS, generation, ownedSinceMillis);
        ledger.replaceEndpoints(List.of(ENDPOINT));
        return ledger;
    }

    private static ShareRequest request(ShareHolder holder, int used, int wanted, long now) {
        return holder.nextRequest(List.of(ENDPOINT), any -> used, any -> wanted, now);
    }

    private static void exchange(ShareLedger ledger, ShareHolder holder, int wanted, long now) {
        ledger.request(request(holder, 0, wanted, now), Long.MAX_VALUE, now)
                .ifPresent(holder::apply);
    }

    /** One endpoint, three seats of members, and a channel that delays, repeats and loses. */
    private static final class World {

        private final SplittableRandom random;
        private final List<Member> members = new ArrayList<>();
        private final List<ShareRequest> requests = new ArrayList<>();
        private final List<ShareGrant> grants = new ArrayList<>();
        private final List<Long> orphans = new ArrayList<>();
        private ShareLedger ledger = ledger(1, 0);
        private long generation = 1;
        private long now;
        private int names;

        private World(SplittableRandom random) {
            this.random = random;
            for (int seat = 0; seat < 3; seat++) {
                members.add(new Member(seat, -1000));
            }
        }

        private void step() {
            now += random.nextInt(5);
            orphans.removeIf(end -> end <= now);
            members.forEach(member -> member.running.removeIf(end -> end <= now));
            Member member = members.get(random.nextInt(members.size()));
            switch (random.nextInt(10)) {
                case 0, 1 -> requests.add(member.request());
                case 2, 3, 4 -> deliverRequest();
                case 5, 6 -> deliverGrant();
                case 7, 8 -> members.forEach(Member::start);
                default -> disturb(member);
            }
        }

        private void deliverRequest() {
            if (requests.isEmpty()) {
                return;
            }
            int index = pick(requests.size());
            ledger.request(requests.get(index), Long.MAX_VALUE, now).ifPresent(grants::add);
            if (random.nextInt(4) > 0) {
                requests.remove(index);
            }
        }

        private void deliverGrant() {
            if (grants.isEmpty()) {
                return;
            }
            int index = pick(grants.size());
            members.forEach(member -> member.holder.apply(grants.get(index)));
            if (random.nextInt(4) > 0) {
                grants.remove(index);
            }
        }

        private int pick(int size) {
            return random.nextInt(3) == 0 ? random.nextInt(size) : size - 1;
        }

        private void disturb(Member member) {
            int kind = random.nextInt(40);
            if (kind == 0) {
                orphans.addAll(member.running);
                members.set(member.seat, new Member(member.seat, now + SETTINGS.graceMillis()));
            } else if (kind == 1) {
                generation++;
                ledger = ledger(generation, now);
            } else if (kind < 20 && !requests.isEmpty()) {
                requests.remove(0);
            } else if (!grants.isEmpty()) {
                grants.remove(0);
            }
        }

        private int used() {
            return orphans.size() + members.stream().mapToInt(m -> m.running.size()).sum();
        }

        private final class Member {

            private final int seat;
            private final ShareHolder holder;
            private final long seatFreeMillis;
            private final List<Long> running = new ArrayList<>();

            private Member(int seat, long seatFreeMillis) {
                this.seat = seat;
                this.seatFreeMillis = seatFreeMillis;
                names++;
                this.holder = new ShareHolder(SETTINGS, new VmId("vm-" + names), 99, 0);
            }

            private void takeSeat() {
                if (now >= seatFreeMillis) {
                    holder.rank(seat);
                }
            }

            private ShareRequest request() {
                takeSeat();
                return ShareLedgerTest.request(
                        holder,
                        running.size(),
                        random.nextInt(3) == 0 ? random.nextInt(9) : 8,
                        now);
            }

            private void start() {
                takeSeat();
                while (running.size() < holder.slots(ENDPOINT, now)) {
                    running.add(now + 1 + random.nextLong(ATTEMPT_MILLIS));
                }
            }
        }
    }
}
