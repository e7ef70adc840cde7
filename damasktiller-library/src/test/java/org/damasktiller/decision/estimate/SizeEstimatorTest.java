package org.damasktiller.decision.estimate;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.closeTo;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import org.damasktiller.identity.JobId;
import org.damasktiller.identity.KindName;
import org.damasktiller.resource.Resources;
import org.junit.jupiter.api.Test;

class SizeEstimatorTest {

    private static final KindName KIND = new KindName("spectrum");

    private static final Resources LARGEST = new Resources(16_000, 60_000, 0);

    private static final Resources TRUE_SIZE = new Resources(2000, 4000, 0);

    private final SizeEstimator estimator = new SizeEstimator();

    @Test
    void testDeclaredSizeCountsUntilEnoughJobsWereSeen() {
        Resources declared = new Resources(20_000, 40_000, 1);
        assertThat(estimator.estimate(KIND, declared, LARGEST, 0), is(declared));
    }

    @Test
    void testTenfoldDeclarationIsLowered() {
        assertNearTrueSize(run(new Resources(20_000, 40_000, 0), LARGEST));
    }

    @Test
    void testTenthDeclarationIsRaised() {
        assertNearTrueSize(run(new Resources(200, 400, 0), LARGEST));
    }

    @Test
    void testEstimateIsNeverAboveTheLargestWorker() {
        Resources small = new Resources(1000, 1000, 0);
        Resources estimate = run(new Resources(200, 400, 0), small);
        assertThat(estimate.fitsWithin(small), is(true));
    }

    @Test
    void testLongJobDoesNotOutweighOthers() {
        for (int job = 0; job < 20; job++) {
            estimator.observe(new JobId("j" + job), KIND, TRUE_SIZE, LARGEST, 0);
        }
        JobId longJob = new JobId("long");
        for (int report = 0; report < 1000; report++) {
            estimator.observe(longJob, KIND, new Resources(9000, 30_000, 0), LARGEST, 0);
        }
        estimator.ended(longJob);
        double count = 20 + Math.log(1000) + 0.58;
        assertThat(20 / count, is(lessThanOrEqualTo(0.8)));
        Resources few = estimator.estimate(KIND, LARGEST, LARGEST, 0);
        assertThat((double) few.memoryMegabytes(), is(closeTo(31_500 * 1.07, 3000)));
    }

    private Resources run(Resources declared, Resources largest) {
        for (int job = 0; job < 40; job++) {
            Resources reserved = estimator.estimate(KIND, declared, largest, job);
            JobId id = new JobId("j" + job);
            for (int report = 0; report < 5; report++) {
                Resources used =
                        new Resources(
                                Math.min(TRUE_SIZE.milliProcessors(), reserved.milliProcessors()),
                                Math.min(TRUE_SIZE.memoryMegabytes(), reserved.memoryMegabytes()),
                                0);
                estimator.observe(id, KIND, used, reserved, job);
            }
            estimator.ended(id);
        }
        return estimator.estimate(KIND, declared, largest, 40);
    }

    private static void assertNearTrueSize(Resources estimate) {
        assertThat((double) estimate.milliProcessors(), is(closeTo(3000, 1000)));
        assertThat((double) estimate.memoryMegabytes(), is(closeTo(6000, 2000)));
    }
}
