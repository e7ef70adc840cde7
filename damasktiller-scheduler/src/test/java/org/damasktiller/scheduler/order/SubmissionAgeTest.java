package org.damasktiller.scheduler.order;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.equalTo;

import org.junit.jupiter.api.Test;

/** Tests the estimate of how long ago a submission was accepted. */
final class SubmissionAgeTest {

    /** The time on the clock of the owner, in milliseconds since 1970. */
    private static final long NOW = 1_790_000_000_000L;

    @Test
    void ageCountsFromTheAcceptance() {
        assertThat(SubmissionAge.estimateMillis(NOW - 12_000, NOW), equalTo(12_000L));
    }

    /** The clock of the accepting VM, or that of the owner, was set forward by 40 minutes. */
    @Test
    void implausibleAgeCountsAsNone() {
        assertThat(SubmissionAge.estimateMillis(NOW + 2_400_000, NOW), equalTo(0L));
        assertThat(SubmissionAge.estimateMillis(NOW - 2_400_000, NOW), equalTo(0L));
    }
}
