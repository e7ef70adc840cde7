package org.damasktiller.scheduler.cell;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import org.junit.jupiter.api.Test;

/** Tests when a worker becomes suspect and when the suspicion ends. */
final class WorkerFailureDetectorTest {

    @Test
    void oneSubmissionThatFailsAgainAndAgainSaysNothing() {
        WorkerFailureDetector detector = new WorkerFailureDetector();
        for (int run = 0; run < 5; run++) {
            assertThat(detector.failed("a", run), is(false));
        }
    }

    @Test
    void twoSubmissionsInARowMakeItSuspectUntilOneIsDone() {
        WorkerFailureDetector detector = new WorkerFailureDetector();
        detector.failed("a", 0);
        assertThat(detector.failed("b", 10), is(true));
        assertThat(detector.suspect(11), is(true));
        assertThat(detector.suspect(5_000), is(false));
        assertThat(detector.onProbation(), is(true));
        detector.done();
        assertThat(detector.onProbation(), is(false));
    }
}
