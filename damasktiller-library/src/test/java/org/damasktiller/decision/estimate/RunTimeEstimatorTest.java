package org.damasktiller.decision.estimate;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.closeTo;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.is;

import org.damasktiller.identity.KindName;
import org.junit.jupiter.api.Test;

class RunTimeEstimatorTest {

    private static final KindName KIND = new KindName("watch");

    @Test
    void testSeenRunTimesReplaceTheDeclaredOne() {
        RunTimeEstimator estimator = new RunTimeEstimator();
        assertThat(estimator.expectedMillis(KIND, 0, 0), is(60_000L));
        assertThat(estimator.expectedMillis(KIND, 600_000, 0), is(600_000L));
        for (int run = 1; run <= 9; run++) {
            estimator.observe(KIND, run * 1000L, 0);
        }
        long expected = estimator.expectedMillis(KIND, 600_000, 0);
        assertThat((double) expected, is(closeTo(5000, 300)));
        assertThat(estimator.upperMillis(KIND, 0.9, 0, 0), is(greaterThan(expected)));
    }
}
