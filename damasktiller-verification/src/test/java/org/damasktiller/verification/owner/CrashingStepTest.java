package org.damasktiller.verification.owner;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.equalTo;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import org.damasktiller.scheduler.model.SubmissionState;
import org.damasktiller.scheduler.model.TaskId;
import org.damasktiller.verification.owner.CellSimulation.OwnerProcess;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Tests a step of many tasks that crash half of the workers at the same time. */
final class CrashingStepTest {

    /** The identifier of the submission whose tasks crash their workers. */
    private static final String CRASHING = "00000000000000c1";

    /** The number of workers. */
    private static final int WORKERS = 16;

    /** The number of tasks; four fit on a worker. */
    private static final int TASKS = 32;

    /** The most starts of a task, given by the platform's documentation. */
    private static final int MAX_STARTS = 5;

    /** How long the cell is followed, in milliseconds. */
    private static final long TIME_LIMIT_MILLIS = 120_000;

    /** How long an owner that leaves has to hand over, in milliseconds. */
    private static final long HAND_OVER_MILLIS = 300;

    /** The cell. */
    private CellSimulation simulation = new CellSimulation(WORKERS);

    /** Crashes of many workers at once must not keep their tasks from being given up. */
    @Test
    void manyTasksThatCrashTheirWorkersLaterAreNotStartedWithoutEnd() {
        OwnerProcess owner = begin();
        simulation.runtime.advance(TIME_LIMIT_MILLIS);
        assertGivenUp(owner);
    }

    /** Owners that end before they have stored a crash let the next one count anew. */
    @Test
    void manyTasksThatCrashTheirWorkersUnderOwnersInSeriesAreNotStartedWithoutEnd() {
        OwnerProcess owner = begin();
        for (int takeover = 0; takeover < 24; takeover++) {
            simulation.runtime.advance(TIME_LIMIT_MILLIS / 24);
            owner.kill();
            owner = simulation.startOwner();
        }
        assertGivenUp(owner);
    }

    /**
     * Owners that end at other moments of a crash, in cells of several sizes.
     *
     * @param workers the number of workers
     * @param termMillis how long each owner lives, in milliseconds
     */
    @ParameterizedTest
    @CsvSource({
        "16, 2500",
        "16, 4000",
        "16, 5000",
        "32, 2500",
        "32, 4000",
        "32, 5000",
        "48, 2500",
        "48, 4000",
        "48, 5000"
    })
    void tasksThatCrashTheirWorkersAreNotStartedWithoutEndWhateverTheTermsOfOwners(
            int workers, long termMillis) {
        simulation = new CellSimulation(workers);
        OwnerProcess owner = begin();
        for (long millis = 0; millis < TIME_LIMIT_MILLIS; millis += termMillis) {
            simulation.runtime.advance(termMillis);
            owner.kill();
            owner = simulation.startOwner();
        }
        assertGivenUp(owner);
    }

    /**
     * Owners that leave close the roster, and an owner forgot the starts that the one before had to
     * record.
     *
     * @param delayMillis how long after its start a task crashes its worker, in milliseconds
     * @param termMillis how long each owner lives, in milliseconds
     * @param leaves whether owners leave in order before they end
     */
    @ParameterizedTest
    @CsvSource({"2000, 2300, true", "4000, 2000, true", "4000, 2300, false"})
    void lastingTasksThatCrashTheirWorkersUnderOwnersInSeriesAreNotStartedWithoutEnd(
            long delayMillis, long termMillis, boolean leaves) {
        simulation.crashDelayMillis = delayMillis;
        OwnerProcess owner = simulation.startOwner();
        simulation.runtime.advance(3_000);
        simulation.crashingSubmissions.add(CRASHING);
        simulation.submit(CRASHING, CellSimulation.longRunningStep(WORKERS / 2));
        for (long millis = 0; millis < TIME_LIMIT_MILLIS; millis += termMillis) {
            simulation.runtime.advance(termMillis);
            if (leaves) {
                owner.leave();
                simulation.runtime.advance(HAND_OVER_MILLIS);
            }
            owner.kill();
            owner = simulation.startOwner();
        }
        assertGivenUp(owner);
    }

    /** The roster did not tell that a worker had started again under its identifier. */
    @Test
    void tasksWhoseWorkersRestartUnderTheirIdentifiersAreNotStartedWithoutEnd() {
        simulation.restartsInPlace = true;
        OwnerProcess owner = begin();
        for (long millis = 0; millis < TIME_LIMIT_MILLIS; millis += 2_500) {
            simulation.runtime.advance(2_500);
            owner.kill();
            owner = simulation.startOwner();
        }
        assertGivenUp(owner);
    }

    /**
     * Starts an owner and the step.
     *
     * @return the process of the owner
     */
    private OwnerProcess begin() {
        simulation.taskDurationMillis = 2_500;
        simulation.crashDelayMillis = 2_000;
        OwnerProcess owner = simulation.startOwner();
        simulation.runtime.advance(3_000);
        simulation.crashingSubmissions.add(CRASHING);
        simulation.submit(CRASHING, CellSimulation.shortStep(TASKS));
        return owner;
    }

    /**
     * Asserts that no task was started too often, and the submission has failed.
     *
     * @param owner the last owner
     */
    private void assertGivenUp(OwnerProcess owner) {
        simulation.runtime.advance(TIME_LIMIT_MILLIS / 4);
        for (int index = 0; index < TASKS; index++) {
            TaskId task = new TaskId(CRASHING, 0, 0, index);
            assertThat(
                    "starts of " + task,
                    simulation.invariants.startCount(task),
                    lessThanOrEqualTo(MAX_STARTS));
        }
        assertThat(simulation.submissionState(CRASHING), equalTo(SubmissionState.FAILED));
        owner.kill();
    }
}
