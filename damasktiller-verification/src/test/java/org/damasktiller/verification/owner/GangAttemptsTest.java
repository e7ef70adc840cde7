package org.damasktiller.verification.owner;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.equalTo;

import org.damasktiller.scheduler.model.Resources;
import org.damasktiller.scheduler.model.StepSpec;
import org.damasktiller.scheduler.model.StepSpecBuilder;
import org.damasktiller.scheduler.model.SubmissionState;
import org.damasktiller.scheduler.model.TaskId;
import org.damasktiller.verification.owner.CellSimulation.OwnerProcess;
import org.junit.jupiter.api.Test;

/** Tests how many runs of a gang may fail before its submission fails. */
final class GangAttemptsTest {

    /** The identifier of the submission with the gang. */
    private static final String GANG = "00000000000000f1";

    /** The number of members of the gang. */
    private static final int MEMBER_COUNT = 3;

    /** The time in which a run of the gang starts and ends, in milliseconds. */
    private static final long RUN_MILLIS = 500;

    /** The cell, whose workers each have room for the whole gang. */
    private final CellSimulation simulation = new CellSimulation(6);

    /** A gang was given up after one failed run, since the failures of its members added up. */
    @Test
    void failuresOfAllMembersInOneRunAreOneFailedRun() {
        simulation.failingWorkers.addAll(simulation.workers.keySet());
        simulation.startOwner();
        submitGang(memberStep());
        simulation.runtime.advance(RUN_MILLIS);
        simulation.failingWorkers.clear();
        assertOver(SubmissionState.SUCCEEDED, 2);
    }

    /** A gang that fails on every worker has as many runs as it has attempts. */
    @Test
    void gangThatFailsOnEveryWorkerIsGivenUpAfterItsAttempts() {
        simulation.failingSubmissions.add(GANG);
        simulation.startOwner();
        submitGang(memberStep());
        assertOver(SubmissionState.FAILED, CellSimulation.MAX_ATTEMPTS);
    }

    /** The failed runs under earlier owners count as well. */
    @Test
    void failedRunsOfAGangCountOverChangesOfTheOwner() {
        simulation.failingSubmissions.add(GANG);
        OwnerProcess owner = simulation.startOwner();
        submitGang(memberStep());
        for (int takeover = 0; takeover < CellSimulation.MAX_ATTEMPTS; takeover++) {
            simulation.runtime.advance(RUN_MILLIS);
            owner.kill();
            owner = simulation.startOwner();
        }
        assertOver(SubmissionState.FAILED, CellSimulation.MAX_ATTEMPTS);
    }

    /**
     * Creates the step of the gang.
     *
     * @return the builder of the step
     */
    private static StepSpecBuilder memberStep() {
        return StepSpec.builder(MEMBER_COUNT, new Resources(2_000, 1_000, 0))
                .estimateMillis(400)
                .gang(true);
    }

    /**
     * Submits the gang.
     *
     * @param step the step of the gang
     */
    private void submitGang(StepSpecBuilder step) {
        simulation.submit(GANG, step.build());
    }

    /**
     * Asserts that the submission is over after some runs of the gang.
     *
     * @param state the state of the submission
     * @param runCount the number of runs of each member
     */
    private void assertOver(SubmissionState state, int runCount) {
        simulation.runtime.advance(20_000);
        assertThat(simulation.invariants.violations(), empty());
        assertThat(simulation.submissionState(GANG), equalTo(state));
        for (int index = 0; index < MEMBER_COUNT; index++) {
            TaskId member = new TaskId(GANG, 0, 0, index);
            assertThat(simulation.invariants.startCount(member), equalTo(runCount));
        }
    }
}
