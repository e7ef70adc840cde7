package org.damasktiller.scheduler.cell;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import org.junit.jupiter.api.Test;

/** Tests when a worker becomes suspect and when the suspicion ends. */
final class WorkerFailureDetectorTest {

    @Test
    void repeatedFailuresOfOneSubmissionDoNotMakeWorkerSuspect() {
        WorkerFailureDetector detector = new WorkerFailureDetector();
        for (int run = 0; run < 5; run++) {
            assertThat(detector.recordFailure("a", run), is(false));
        }
    }

    @Test
    void failuresOfTwoSubmissionsMakeWorkerSuspectUntilARunSucceeds() {
        WorkerFailureDetector detector = new WorkerFailureDetector();
        detector.recordFailure("a", 0);
        assertThat(detector.recordFailure("b", 10), is(true));
        assertThat(detector.isSuspect(11), is(true));
        assertThat(detector.isSuspect(5_000), is(false));
        assertThat(detector.isOnProbation(), is(true));
        detector.recordSuccess();
        assertThat(detector.isOnProbation(), is(false));
    }
}
