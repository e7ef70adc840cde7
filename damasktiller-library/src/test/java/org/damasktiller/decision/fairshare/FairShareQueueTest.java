package org.damasktiller.decision.fairshare;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.closeTo;
import static org.hamcrest.Matchers.is;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.damasktiller.error.DamasktillerException;
import org.damasktiller.error.ErrorCode;
import org.damasktiller.identity.JobId;
import org.damasktiller.identity.KindName;
import org.damasktiller.identity.TenantName;
import org.damasktiller.resource.Resources;
import org.damasktiller.table.KindOfWork;
import org.damasktiller.table.WorkClass;
import org.junit.jupiter.api.Test;

class FairShareQueueTest {

    private static final Resources FLEET = new Resources(100_000, 100_000, 0);

    private static final Resources ONE = new Resources(1000, 1000, 0);

    private static final TenantName TENANT = new TenantName("depot");

    private final FairShareQueue queue = new FairShareQueue(FLEET, AgingRule.ORDINARY);

    private int jobs;

    @Test
    void testUrgentGoesFirstThenGuaranteedThenInteractiveThenBatch() {
        put(row("bulk"));
        put(row("calls").workClass(WorkClass.INTERACTIVE));
        put(row("night").minimumSharePercent(2));
        put(row("alarm").workClass(WorkClass.URGENT));
        for (String kind : List.of("bulk", "calls", "night", "alarm")) {
            submit(kind, ONE, 0);
        }
        assertThat(startAll(), is(List.of("alarm", "night", "calls", "bulk")));
    }

    @Test
    void testGuaranteeEndsAtItsShare() {
        put(row("calls").workClass(WorkClass.INTERACTIVE));
        put(row("night").minimumSharePercent(2));
        submit("night", ONE, 0);
        submit("night", ONE, 0);
        submit("night", ONE, 0);
        submit("calls", ONE, 0);
        assertThat(startAll(), is(List.of("night", "night", "calls", "night")));
    }

    @Test
    void testJobThatDoesNotFitHoldsUpNoOther() {
        put(row("bulk"));
        PendingJob large = submit("bulk", new Resources(90_000, 1000, 0), 0);
        PendingJob small = submit("bulk", ONE, 0);
        queue.beginRound();
        assertThat(queue.next(0), is(Optional.of(large)));
        queue.refusedForRoom(large, false, 0);
        assertThat(queue.next(0), is(Optional.of(small)));
        queue.refusedForRoom(small, false, 0);
        assertThat(queue.next(0), is(Optional.empty()));
        queue.beginRound();
        assertThat(queue.next(0), is(Optional.of(large)));
    }

    @Test
    void testRefusedAgedJobAsksForRoom() {
        put(row("bulk"));
        PendingJob job = submit("bulk", ONE, 0);
        assertThat(queue.refusedForRoom(job, false, AgingRule.ORDINARY.waitMillis() - 1), is(0));
        assertThat(queue.refusedForRoom(job, false, AgingRule.ORDINARY.waitMillis()), is(1));
    }

    @Test
    void testKindBehindItsShareAsksForRoomForAsManyJobs() {
        put(row("large"));
        put(row("small"));
        submit("large", ONE, 0);
        submit("large", ONE, 0);
        for (int each = 0; each < 10; each++) {
            submit("small", ONE, 0);
        }
        queue.beginRound();
        PendingJob first = queue.next(0).orElseThrow();
        queue.started(first.id(), ONE, 1000, 0);
        PendingJob refused = queue.next(0).orElseThrow();
        while (!refused.kind().equals(name("large"))) {
            queue.started(refused.id(), ONE, 1000, 0);
            refused = queue.next(0).orElseThrow();
        }
        assertThat(queue.refusedForRoom(refused, false, 0), is(0));
        startAllOpen();
        queue.beginRound();
        assertThat(queue.next(0), is(Optional.of(refused)));
        assertThat(queue.refusedForRoom(refused, false, 0) > 3, is(true));
        queue.beginRound();
        queue.refusedForHarm(refused);
        queue.beginRound();
        assertThat(queue.refusedForRoom(refused, false, 0), is(0));
    }

    @Test
    void testKindAheadOfItsShareLeavesComingRoomToOneBehindForABoundedTime() {
        put(row("large"));
        put(row("small"));
        PendingJob large = submit("large", ONE, 0);
        for (int each = 0; each < 40; each++) {
            submit("small", ONE, 0);
        }
        queue.beginRound();
        queue.refusedForRoom(large, false, 0);
        for (int each = 0; each < 20; each++) {
            queue.started(queue.next(0).orElseThrow().id(), ONE, 1000, 0);
        }
        assertThat(startsBesides(large, true, 1000), is(0));
        assertThat(startsBesides(large, true, 30_999), is(0));
        assertThat(startsBesides(large, true, 31_000), is(20));
        assertThat(startsBesides(large, false, 32_000), is(0));
    }

    @Test
    void testLargeSizeKeepsNoKindFromStarting() {
        put(row("large"));
        put(row("small"));
        PendingJob large = submit("large", ONE, 0);
        for (int each = 0; each < 40; each++) {
            submit("small", ONE, 0);
        }
        assertThat(startsBesides(large, false, 0), is(40));
    }

    @Test
    void testRunningLimitAndRateAndQuotaHold() {
        put(row("limited").runningLimit(2));
        put(row("slow").ratePerSecond(3));
        TenantName poor = new TenantName("poor");
        queue.putQuota(poor, new Resources(4000, 4000, 0));
        queue.putKind(KindOfWork.builder(new KindName("quota"), poor).build(), 0);
        for (int each = 0; each < 10; each++) {
            submit("limited", ONE, 0);
            submit("slow", ONE, 0);
            submit("quota", ONE, 0);
        }
        List<String> started = startAll();
        assertThat(count(started, "limited"), is(2));
        assertThat(count(started, "slow"), is(3));
        assertThat(count(started, "quota"), is(4));
        queue.ended(new JobId("quota-3"), 0);
        assertThat(startAll(), is(List.of("quota")));
    }

    @Test
    void testCancelledJobsNeverStart() {
        put(row("bulk"));
        PendingJob first = submit("bulk", ONE, 0);
        PendingJob second = submit("bulk", ONE, 0);
        PendingJob third = submit("bulk", ONE, 0);
        assertThat(queue.cancel(first.id()), is(true));
        assertThat(queue.cancel(third.id()), is(true));
        assertThat(queue.cancel(third.id()), is(false));
        assertThat(queue.next(0), is(Optional.of(second)));
        assertThat(queue.cancel(second.id()), is(true));
        assertThat(queue.next(0), is(Optional.empty()));
        PendingJob fourth = submit("bulk", ONE, 0);
        assertThat(queue.next(0), is(Optional.of(fourth)));
    }

    @Test
    void testAgedJobOfLightKindIsPreferredWithinItsPart() {
        FairShareQueue aging = new FairShareQueue(FLEET, new AgingRule(1000, 10));
        aging.putKind(row("heavy").weight(1000).build(), 0);
        aging.putKind(row("light").build(), 0);
        for (int each = 0; each < 60; each++) {
            aging.submit(new PendingJob(new JobId("h" + each), name("heavy"), ONE, 5000));
            aging.submit(new PendingJob(new JobId("l" + each), name("light"), ONE, 0));
        }
        int light = 0;
        for (int each = 0; each < 40; each++) {
            PendingJob job = aging.next(5000).orElseThrow();
            light += job.kind().equals(name("light")) ? 1 : 0;
            aging.started(job.id(), ONE, 1000, 5000);
        }
        assertThat(light, is(4));
    }

    @Test
    void testSharesFollowWeightsWithinFivePercentOverALongRun() {
        ShareRun run = new ShareRun(FLEET, "weights.csv");
        run.advance(4 * 3_600_000L);
        double total = run.consumed().stream().mapToDouble(ShareReading::consumedMillis).sum();
        int weights = run.consumed().stream().mapToInt(ShareReading::weight).sum();
        for (ShareReading reading : run.consumed()) {
            double wanted = (double) reading.weight() / weights;
            double received = reading.consumedMillis() / total;
            assertThat(reading.kind().value(), received, is(closeTo(wanted, 0.05 * wanted)));
        }
    }

    @Test
    void testOverrunningJobIsChargedBeforeItsEnd() {
        put(row("long"));
        put(row("other"));
        PendingJob overrunning = submit("long", ONE, 0);
        PendingJob other = submit("other", ONE, 0);
        queue.beginRound();
        queue.started(overrunning.id(), ONE, 1000, 0);
        queue.started(other.id(), ONE, 1000, 0);
        queue.ended(other.id(), 1000);
        queue.chargeOverrun(overrunning.id(), 21_000);
        for (int each = 0; each < 30; each++) {
            submit("long", ONE, 0);
            submit("other", ONE, 0);
        }
        assertThat(count(startAll().subList(0, 20), "other"), is(20));
    }

    @Test
    void testReturningKindGathersNoCredit() {
        put(row("a"));
        put(row("b"));
        submit("b", ONE, 0);
        for (int each = 0; each < 20; each++) {
            submit("a", ONE, 0);
        }
        startAll();
        for (int each = 0; each < 20; each++) {
            submit("a", ONE, 0);
            submit("b", ONE, 0);
        }
        List<String> first = startAll().subList(0, 10);
        assertThat((double) count(first, "b"), is(closeTo(5, 1)));
    }

    @Test
    void testUnknownKindIsRefused() {
        DamasktillerException error =
                assertThrows(DamasktillerException.class, () -> submit("none", ONE, 0));
        assertThat(error.code(), is(ErrorCode.UNKNOWN_KIND));
    }

    private int startsBesides(PendingJob refused, boolean soon, long nowMillis) {
        queue.beginRound();
        int starts = 0;
        Optional<PendingJob> next = queue.next(nowMillis);
        while (next.isPresent()) {
            if (next.get().equals(refused)) {
                queue.refusedForRoom(refused, soon, nowMillis);
            } else {
                queue.started(next.get().id(), ONE, 1000, nowMillis);
                starts++;
            }
            next = queue.next(nowMillis);
        }
        return starts;
    }

    private List<String> startAll() {
        queue.beginRound();
        return startAllOpen();
    }

    private List<String> startAllOpen() {
        List<String> kinds = new ArrayList<>();
        Optional<PendingJob> next = queue.next(0);
        while (next.isPresent()) {
            queue.started(next.get().id(), ONE, 1000, 0);
            kinds.add(next.get().kind().value());
            next = queue.next(0);
        }
        return kinds;
    }

    private PendingJob submit(String kind, Resources size, long nowMillis) {
        JobId id = new JobId(kind + "-" + ++jobs);
        PendingJob job = new PendingJob(id, name(kind), size, nowMillis);
        queue.submit(job);
        return job;
    }

    private void put(KindOfWork.Builder row) {
        queue.putKind(row.build(), 0);
    }

    private static KindOfWork.Builder row(String name) {
        return KindOfWork.builder(name(name), TENANT);
    }

    private static KindName name(String name) {
        return new KindName(name);
    }

    private static int count(List<String> kinds, String kind) {
        return (int) kinds.stream().filter(kind::equals).count();
    }
}
