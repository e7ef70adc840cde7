package org.damasktiller.scheduler.placement;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.equalTo;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.lessThan;

import org.junit.jupiter.api.Test;

/** Tests how much fillers may disturb serving tasks, and how fast they get their speed back. */
final class FillerAdmissionTest {

    /** The estimated duration of a job, in milliseconds. */
    private static final long ESTIMATE = 4_000;

    /** Within what time the job has to be done, in milliseconds. */
    private static final long OBJECTIVE = 9_000;

    @Test
    void fillerWithAllItsSlackDisturbsAlmostNobody() {
        double impact = FillerAdmission.bySlack(used(0, ESTIMATE), 0);
        assertThat(impact, lessThan(FillerAdmission.byWaiting(0) / 4));
    }

    @Test
    void fillerMayDisturbMoreAndSpeedsUpFasterTheLessTimeIsLeft() {
        double impactBefore = 0;
        int stepBefore = 0;
        for (long elapsed = 500; elapsed <= 3_000; elapsed += 500) {
            double used = used(elapsed, ESTIMATE);
            assertThat(FillerAdmission.bySlack(used, 0), greaterThan(impactBefore));
            assertThat(FillerPacing.stepPercent(used) >= stepBefore, equalTo(true));
            impactBefore = FillerAdmission.bySlack(used, 0);
            stepBefore = FillerPacing.stepPercent(used);
        }
    }

    @Test
    void fillerWhoseSlackIsUsedUpIsTreatedAsOneThatHasWaitedForLong() {
        double used = used(20_000, ESTIMATE);
        assertThat(
                FillerAdmission.bySlack(used, 5_000),
                greaterThan(FillerAdmission.byWaiting(5_000)));
        assertThat(FillerPacing.stepPercent(used), equalTo(FillerPacing.FULL_STEP_PERCENT));
    }

    @Test
    void workThatWasDoneInTimeUsesNoSlack() {
        assertThat(used(2_000, ESTIMATE - 2_000), equalTo(used(0, ESTIMATE)));
    }

    @Test
    void jobWithoutAnEstimateOrObjectiveHasNoSlack() {
        assertThat(FillerSlack.usedPart(0, 0, 0, 0), equalTo(FillerSlack.USED_UP));
    }

    /**
     * Returns how much of the slack of the job is used.
     *
     * @param elapsedMillis how long ago the job was accepted, in milliseconds
     * @param remainingMillis the estimated duration of the work that is left, in milliseconds
     * @return the used part
     */
    private static double used(long elapsedMillis, long remainingMillis) {
        return FillerSlack.usedPart(elapsedMillis, OBJECTIVE, ESTIMATE, remainingMillis);
    }
}
