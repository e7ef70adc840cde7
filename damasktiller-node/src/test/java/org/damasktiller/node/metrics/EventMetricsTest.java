package org.damasktiller.node.metrics;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.equalTo;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Tests the counters and histograms that are derived from log events. */
final class EventMetricsTest {

    @Test
    void decisionsAreCountedAndTheirTimesKeptByRoute() {
        List<String> passedOn = new ArrayList<>();
        EventMetrics metrics = new EventMetrics((event, fields) -> passedOn.add(event));
        metrics.log("submission.answered", "id", "a", "route", "r1", "millis", 12L);
        metrics.log("submission.answered", "id", "b", "route", "r1", "millis", 30L);
        metrics.log("store.lost", "answeredAgo", 1_800L);
        String text = metrics.render();
        assertThat(text, containsString("submission.answered.count 2\n"));
        assertThat(text, containsString("submission.answered.millis.r1.max 30\n"));
        assertThat(text, containsString("store.lost.count 1\n"));
        assertThat(passedOn.size(), equalTo(3));
    }
}
