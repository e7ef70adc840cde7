package org.damasktiller.decision.estimate;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.closeTo;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.is;

import org.junit.jupiter.api.Test;

class DecayingHistogramTest {

    @Test
    void testQuantilesLieWithinABucket() {
        DecayingHistogram histogram = new DecayingHistogram(1000);
        for (int value = 1; value <= 1000; value++) {
            histogram.add(value, 1, 0);
        }
        assertThat(histogram.quantile(0.5), is(closeTo(500, 30)));
        assertThat(histogram.quantile(0.99), is(closeTo(990, 55)));
        assertThat(histogram.upperQuantile(0.5, 1, 0), is(greaterThan(histogram.quantile(0.5))));
    }

    @Test
    void testOldValuesFade() {
        DecayingHistogram histogram = new DecayingHistogram(1000);
        for (int each = 0; each < 100; each++) {
            histogram.add(10, 1, 0);
        }
        assertThat(histogram.count(1000), is(closeTo(50, 0.1)));
        for (int each = 0; each < 10; each++) {
            histogram.add(1000, 1, 200_000);
        }
        assertThat(histogram.quantile(0.05), is(closeTo(1000, 55)));
        assertThat(histogram.count(200_000), is(closeTo(10, 0.1)));
    }
}
