package org.damasktiller.scheduler.placement;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.closeTo;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.lessThan;

import org.damasktiller.scheduler.order.Lateness;
import org.junit.jupiter.api.Test;

/** Tests how much fillers may disturb. */
final class LatenessToleranceTest {

    /** The precision of comparisons. */
    private static final double PRECISION = 1e-9;

    /** How much a filler may disturb that can be on time. */
    private final FillerTolerance onTime = new WaitingTolerance();

    /** The tolerance under test. */
    private final FillerTolerance tolerance = new LatenessTolerance(onTime);

    /** A backlog: late fillers have waited for 8 s when one arrives that can be on time. */
    @Test
    void newFillerMayDisturbMoreThanLateOneThatHasWaitedLong() {
        assertThat(
                tolerance.allowedImpact(Lateness.LATE, 8_000),
                lessThan(tolerance.allowedImpact(Lateness.ON_TIME, 100)));
    }

    @Test
    void fillerThatCanBeOnTimeMayDisturbAsBefore() {
        assertThat(
                tolerance.allowedImpact(Lateness.ON_TIME, 3_000),
                closeTo(onTime.allowedImpact(Lateness.ON_TIME, 3_000), PRECISION));
    }

    /** Late work is restrained, and yet starts in the end where every worker is disturbed. */
    @Test
    void lateFillerMayDisturbMoreTheLongerItWaits() {
        assertThat(
                tolerance.allowedImpact(Lateness.TOO_LATE, 60_000),
                greaterThan(onTime.allowedImpact(Lateness.ON_TIME, 5_000)));
    }
}
