package org.damasktiller.scheduler.cell;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import org.junit.jupiter.api.Test;

/** Tests when a worker becomes suspect and when the suspicion ends. */
final class WorkerConductTest {

    @Test
    void oneSubmissionThatFailsAgainAndAgainSaysNothing() {
        WorkerConduct conduct = new WorkerConduct();
        for (int run = 0; run < 5; run++) {
            assertThat(conduct.failed("a", run), is(false));
        }
    }

    @Test
    void twoSubmissionsInARowMakeItSuspectUntilOneIsDone() {
        WorkerConduct conduct = new WorkerConduct();
        conduct.failed("a", 0);
        assertThat(conduct.failed("b", 10), is(true));
        assertThat(conduct.suspect(11), is(true));
        assertThat(conduct.suspect(5_000), is(false));
        assertThat(conduct.onProbation(), is(true));
        conduct.done();
        assertThat(conduct.onProbation(), is(false));
    }
}
