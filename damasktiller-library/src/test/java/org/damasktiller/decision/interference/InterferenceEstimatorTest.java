package org.damasktiller.decision.interference;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.closeTo;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThan;

import java.util.SplittableRandom;
import org.damasktiller.identity.WorkerId;
import org.junit.jupiter.api.Test;

class InterferenceEstimatorTest {

    private static final int SERVICE = 0;

    private static final int NOISY = 1;

    private static final int QUIET = 2;

    private static final long PERIOD_MILLIS = 10_000;

    private static final long LAG_MILLIS = 15_000;

    private final InterferenceEstimator estimator = new InterferenceEstimator();

    private final WorkerId worker = new WorkerId("w");

    @Test
    void testPairsAreToldApartFromLaggingReports() {
        run(1.0, 200, 0);
        assertThat(estimator.factor(SERVICE, NOISY, LoadLevel.LOW), is(closeTo(1, 0.15)));
        assertThat(estimator.factor(SERVICE, QUIET, LoadLevel.LOW), is(closeTo(0, 0.15)));
    }

    @Test
    void testChangeOfAPairIsFollowed() {
        run(1.0, 200, 0);
        run(0.2, 400, 200 * PERIOD_MILLIS);
        assertThat(estimator.factor(SERVICE, NOISY, LoadLevel.LOW), is(closeTo(0.2, 0.15)));
    }

    @Test
    void testUncertaintyFallsWithReports() {
        double before = estimator.deviation(SERVICE, NOISY, LoadLevel.LOW);
        run(1.0, 100, 0);
        double after = estimator.deviation(SERVICE, NOISY, LoadLevel.LOW);
        assertThat(after, is(lessThan(before / 3)));
        assertThat(estimator.deviation(NOISY, SERVICE, LoadLevel.LOW), is(greaterThan(after)));
    }

    @Test
    void testReportOlderThanTheHistoryIsLeftOut() {
        estimator.loadChanged(worker, NOISY, 0.4, 0);
        double before = estimator.factor(SERVICE, NOISY, LoadLevel.LOW);
        estimator.observe(new SlowdownReport(worker, SERVICE, 3, 0, 10_000), 200_000);
        assertThat(estimator.factor(SERVICE, NOISY, LoadLevel.LOW), is(before));
    }

    private void run(double factor, int periods, long startMillis) {
        SplittableRandom random = new SplittableRandom(5);
        double noisy = 0;
        double quiet = 0;
        double measured = 0;
        for (int period = 0; period < periods; period++) {
            long now = startMillis + period * PERIOD_MILLIS;
            double nextNoisy = random.nextDouble() * 0.25;
            double nextQuiet = random.nextDouble() * 0.25;
            estimator.loadChanged(worker, NOISY, nextNoisy - noisy, now);
            estimator.loadChanged(worker, QUIET, nextQuiet - quiet, now);
            long end = now - LAG_MILLIS + PERIOD_MILLIS / 2;
            if (period > 2) {
                estimator.observe(
                        new SlowdownReport(worker, SERVICE, measured, end - 5000, end), now);
            }
            measured = 1 + factor * noisy;
            noisy = nextNoisy;
            quiet = nextQuiet;
        }
        estimator.loadChanged(worker, NOISY, -noisy, startMillis + periods * PERIOD_MILLIS);
        estimator.loadChanged(worker, QUIET, -quiet, startMillis + periods * PERIOD_MILLIS);
    }
}
