package org.damasktiller.scheduler.crash;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.is;

import java.util.List;
import org.junit.jupiter.api.Test;

/** Tests against which runs the crash of a worker counts, and when a task is given up. */
final class CrashAttributionTest {

    /** A run that has just started. */
    private static final CrashObservation FRESH = new CrashObservation(CrashHistory.NONE, 0, false);

    /** A short run that was active for two seconds. */
    private static final CrashObservation ACTIVE =
            new CrashObservation(CrashHistory.NONE, 2_000, false);

    /** A long-running task that was active for a minute. */
    private static final CrashObservation LONG_ACTIVE =
            new CrashObservation(CrashHistory.NONE, 60_000, true);

    @Test
    void crashCountsAgainstTheRunThatHasJustStarted() {
        assertThat(
                CrashAttribution.attribute(List.of(ACTIVE, FRESH, LONG_ACTIVE), CommonCause.NONE),
                contains(CrashRole.UNINVOLVED, CrashRole.CANDIDATE, CrashRole.UNINVOLVED));
    }

    @Test
    void crashOfAWorkerWithoutNewRunsIsNotedForThoseThatMayCrashLater() {
        assertThat(
                CrashAttribution.attribute(List.of(ACTIVE, LONG_ACTIVE), CommonCause.NONE),
                contains(CrashRole.BYSTANDER, CrashRole.UNINVOLVED));
    }

    @Test
    void aCommonCauseMakesNoTaskSuspectAtOnceButCountsAgainstSuspects() {
        CrashHistory suspect = CrashHistory.NONE.withCrash(CrashRole.CANDIDATE);
        assertThat(
                CrashAttribution.attribute(
                        List.of(FRESH, new CrashObservation(suspect, 0, false)),
                        CommonCause.LIKELY),
                contains(CrashRole.BYSTANDER, CrashRole.UNCERTAIN));
        assertThat(CrashAttribution.isWave(3, 8), is(false));
        assertThat(CrashAttribution.isWave(4, 8), is(true));
        assertThat(CrashAttribution.isWave(4, 400), is(false));
    }

    @Test
    void bystanderCrashesMakeATaskSuspectUntilItEnds() {
        CrashHistory history =
                CrashHistory.NONE.withCrash(CrashRole.BYSTANDER).withCrash(CrashRole.BYSTANDER);
        assertThat(history.isSuspect(), is(true));
        assertThat(history.isSound(4_000, false), is(false));
        assertThat(history.isSound(5_000, true), is(true));
    }

    @Test
    void taskIsGivenUpAfterThreeCrashesOrFiveStartsWithOne() {
        CrashHistory one = CrashHistory.NONE.withCrash(CrashRole.CANDIDATE);
        CrashHistory two = one.withCrash(CrashRole.CANDIDATE);
        assertThat(two.isGivenUp(), is(false));
        assertThat(two.withCrash(CrashRole.CANDIDATE).isGivenUp(), is(true));
        CrashHistory unknown = CrashHistory.NONE;
        for (int number = 0; number < 4; number++) {
            unknown = unknown.withUnknownOutcome();
        }
        assertThat(unknown.isGivenUp(), is(false));
        assertThat(unknown.withUnknownOutcome().isGivenUp(), is(false));
        assertThat(unknown.withCrash(CrashRole.CANDIDATE).isGivenUp(), is(true));
    }

    /** Soak seed 808: with two starts that no owner could record, a sixth start was made. */
    @Test
    void bystanderCrashesCountOnceTheTaskIsACandidate() {
        CrashHistory history =
                CrashHistory.NONE
                        .withCrash(CrashRole.BYSTANDER)
                        .withCrash(CrashRole.BYSTANDER)
                        .withCrash(CrashRole.BYSTANDER);
        assertThat(history.isGivenUp(), is(false));
        assertThat(history.withCrash(CrashRole.CANDIDATE).isGivenUp(), is(true));
    }

    @Test
    void aSoundStartClearsWhatStartsAreSuspectedOf() {
        CrashHistory history = CrashHistory.NONE.withCrash(CrashRole.CANDIDATE);
        assertThat(history.isSound(900, false), is(false));
        assertThat(history.isSound(1_000, false), is(true));
        assertThat(history.withSoundRun(false).isSuspect(), is(false));
    }
}
