package org.damasktiller.decision.guard;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.is;

import java.util.List;
import org.damasktiller.identity.JobId;
import org.damasktiller.identity.WorkerId;
import org.junit.jupiter.api.Test;

class ServiceGuardTest {

    private static final WorkerId WORKER = new WorkerId("w");

    private static final GuardSettings SETTINGS =
            new GuardSettings(45_000, 1000, 1, 3, 3, 0.9, 0.01, 300_000);

    private final ServiceGuard guard = new ServiceGuard(SETTINGS);

    private long nowMillis = 1_000_000;

    @Test
    void testMostHarmfulTaskIsThrottledFirst() {
        List<GuardAction> actions = read(1.1, task("a", 0.05, 100, 1), task("b", 0.4, 100, 1));
        assertThat(actions, is(List.of(new ThrottleTask(WORKER, new JobId("b"), 50))));
    }

    @Test
    void testSeveralAreThrottledWhenOneIsNotEnough() {
        List<GuardAction> actions = read(1.5, task("a", 0.2, 100, 1), task("b", 0.4, 50, 1));
        assertThat(
                actions,
                is(
                        List.of(
                                new ThrottleTask(WORKER, new JobId("b"), 20),
                                new ThrottleTask(WORKER, new JobId("a"), 50))));
    }

    @Test
    void testLeastWorkLostIsEvictedOnlyWhenNothingIsLeftToThrottle() {
        GuardedTask[] tasks = {
            task("a", 0.2, 5, 900),
            task("b", 0.2, 5, 100),
            new GuardedTask(new JobId("fixed"), 0.2, 5, 1, false),
            task("harmless", 0.0001, 100, 1)
        };
        assertThat(read(1.5, tasks), is(empty()));
        assertThat(read(1.5, tasks), is(empty()));
        assertThat(read(1.5, tasks), is(List.of(new EvictTask(WORKER, new JobId("b")))));
        for (int reading = 0; reading < 10; reading++) {
            assertThat(read(1.5, tasks), is(empty()));
        }
        nowMillis += SETTINGS.evictionIntervalMillis();
        assertThat(read(1.5, tasks).size(), is(1));
    }

    @Test
    void testStaleReadingLeadsToNoAction() {
        GuardReading stale = reading(nowMillis - SETTINGS.maximumAgeMillis() - 1, 2);
        assertThat(guard.onReading(stale, nowMillis), is(empty()));
        GuardReading fresh = reading(nowMillis - SETTINGS.maximumAgeMillis(), 2);
        assertThat(guard.onReading(fresh, nowMillis).size(), is(1));
    }

    @Test
    void testReadingFromBeforeTheLastActionLeadsToNoAction() {
        GuardReading first = reading(nowMillis - 20_000, 2);
        assertThat(guard.onReading(first, nowMillis).size(), is(1));
        GuardReading lagging = reading(nowMillis - 5000, 2);
        assertThat(guard.onReading(lagging, nowMillis + 5000), is(empty()));
        GuardReading after = reading(nowMillis + 11_000, 2);
        assertThat(guard.onReading(after, nowMillis + 20_000).size(), is(1));
    }

    @Test
    void testSameReadingTwiceCountsOnce() {
        GuardedTask throttled = task("a", 0.2, 5, 1);
        GuardReading same =
                new GuardReading(WORKER, nowMillis - 10_000, nowMillis, 2, List.of(throttled));
        for (int each = 0; each < 5; each++) {
            assertThat(guard.onReading(same, nowMillis), is(empty()));
        }
    }

    @Test
    void testThrottlingEndsSlowlyAndNotWithinTheBand() {
        GuardedTask slow = task("a", 0.01, 20, 1);
        for (int reading = 0; reading < 10; reading++) {
            assertThat(read(0.95, slow), is(empty()));
        }
        assertThat(read(0.5, slow), is(empty()));
        assertThat(read(0.5, slow), is(empty()));
        assertThat(read(0.5, slow), is(List.of(new ThrottleTask(WORKER, new JobId("a"), 50))));
        assertThat(read(0.5, slow), is(empty()));
    }

    private List<GuardAction> read(double pressure, GuardedTask... tasks) {
        nowMillis += 20_000;
        return guard.onReading(
                new GuardReading(
                        WORKER, nowMillis - 15_000, nowMillis - 5000, pressure, List.of(tasks)),
                nowMillis);
    }

    private GuardReading reading(long toMillis, double pressure) {
        return new GuardReading(
                WORKER, toMillis - 10_000, toMillis, pressure, List.of(task("a", 0.4, 100, 1)));
    }

    private static GuardedTask task(String job, double harm, int speed, long atRisk) {
        return new GuardedTask(new JobId(job), harm, speed, atRisk, true);
    }
}
