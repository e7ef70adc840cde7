package org.damasktiller.decision.interference;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.closeTo;
import static org.hamcrest.Matchers.is;

import org.junit.jupiter.api.Test;

class LoadHistoryTest {

    @Test
    void testMeanCountsWhatRanDuringThePeriod() {
        LoadHistory history = new LoadHistory(100_000);
        history.change(0, 0.5, 0);
        history.change(1, 0.4, 10_000);
        history.change(0, -0.5, 15_000);
        history.change(1, -0.4, 30_000);
        double[] mean = history.mean(10_000, 20_000);
        assertThat(mean[0], is(closeTo(0.25, 1e-9)));
        assertThat(mean[1], is(closeTo(0.4, 1e-9)));
        assertThat(history.mean(31_000, 32_000)[1], is(closeTo(0, 1e-9)));
    }
}
