package org.damasktiller.limit;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.damasktiller.identity.ZoneName;
import org.junit.jupiter.api.Test;

class EscrowedLimitTest {

    private static final int ZONES = 3;
    private static final int LIMIT = 10;
    private static final int STEPS = 400;

    private final List<EscrowedLimit> zones = new ArrayList<>();
    private final int[] running = new int[ZONES];
    private final List<LimitWrite> late = new ArrayList<>();
    private LimitRecord stored = LimitRecord.EMPTY;
    private long revision;
    private boolean startsMeanwhile;

    EscrowedLimitTest() {
        for (int index = 0; index < ZONES; index++) {
            zones.add(new EscrowedLimit(new ZoneName("zone-" + index), ZONES, LIMIT));
        }
    }

    @Property(tries = 300, seed = "23")
    void testLimitHoldsUnderAnyPartition(@ForAll long seed) {
        Random random = new Random(seed);
        boolean[] cut = new boolean[ZONES];
        startsMeanwhile = true;
        for (int step = 0; step < STEPS; step++) {
            int index = random.nextInt(ZONES);
            EscrowedLimit zone = zones.get(index);
            switch (random.nextInt(6)) {
                case 0 -> cut[index] = random.nextBoolean();
                case 1 -> zone.setWaiting(random.nextInt(LIMIT));
                case 2 -> finishOne(index);
                case 3 -> startAll(index);
                case 4 -> deliverLate();
                default ->
                        exchange(
                                zone,
                                !cut[index],
                                cut[index] ? 2 + random.nextInt(2) : random.nextInt(4));
            }
            assertThat(running[0] + running[1] + running[2], lessThanOrEqualTo(LIMIT));
            assertThat(stored.granted(), lessThanOrEqualTo(LIMIT));
        }
    }

    @Test
    void testSharesMoveWithDemand() {
        zones.get(0).setWaiting(LIMIT);
        settle();
        assertThat(zones.get(0).usable(), is(LIMIT));
        zones.get(0).setWaiting(0);
        zones.get(1).setWaiting(LIMIT);
        settle();
        assertThat(zones.get(1).usable(), greaterThan(LIMIT / 2));
        zones.get(0).setWaiting(LIMIT);
        settle();
        assertThat(zones.get(0).usable(), greaterThan(1));
    }

    @Test
    void testCutZoneKeepsItsShareAndReconciles() {
        zones.get(0).setWaiting(LIMIT);
        settle();
        int share = zones.get(0).usable();
        zones.get(1).setWaiting(LIMIT);
        for (int round = 0; round < 10; round++) {
            exchange(zones.get(1), true, 0);
        }
        assertThat(zones.get(0).usable(), is(share));
        assertThat(zones.get(1).usable(), is(LIMIT - share));
        zones.get(0).setWaiting(0);
        settle();
        assertThat(zones.get(1).usable(), greaterThan(LIMIT / 2));
    }

    @Test
    void testLoweredLimitIsReached() {
        zones.get(0).setWaiting(LIMIT);
        settle();
        zones.get(0).setWaiting(0);
        zones.forEach(zone -> zone.setLimit(4));
        settle();
        assertThat(stored.granted(), lessThanOrEqualTo(4));
    }

    private void deliverLate() {
        late.forEach(this::apply);
        late.clear();
    }

    private void startAll(int index) {
        while (zones.get(index).tryStart()) {
            running[index]++;
        }
    }

    private void finishOne(int index) {
        if (running[index] > 0) {
            running[index]--;
            zones.get(index).finish();
        }
    }

    private void settle() {
        for (int round = 0; round < 30; round++) {
            zones.forEach(zone -> exchange(zone, true, 0));
        }
    }

    /** Reads and writes; the fault is 1 for a lost answer, 2 for a lost and 3 for a late write. */
    private void exchange(EscrowedLimit zone, boolean read, int fault) {
        if (read) {
            zone.onRead(stored, revision);
        }
        if (startsMeanwhile) {
            startAll(zones.indexOf(zone));
        }
        Optional<LimitWrite> write = zone.next();
        if (startsMeanwhile) {
            startAll(zones.indexOf(zone));
        }
        if (write.isEmpty()) {
            return;
        }
        if (fault == 0) {
            boolean applied = apply(write.get());
            zone.onAnswer(applied, revision);
            return;
        }
        if (fault == 1) {
            apply(write.get());
        } else if (fault == 3) {
            late.add(write.get());
        }
        zone.onNoAnswer();
    }

    private boolean apply(LimitWrite write) {
        if (write.expectedRevision() != revision) {
            return false;
        }
        stored = write.record();
        revision++;
        return true;
    }
}
