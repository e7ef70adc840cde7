package org.damasktiller.verification.owner;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.equalTo;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import java.util.Arrays;
import java.util.List;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.damasktiller.scheduler.model.Resources;
import org.damasktiller.scheduler.model.StepSpec;
import org.damasktiller.scheduler.model.SubmissionState;
import org.damasktiller.scheduler.model.TaskId;
import org.damasktiller.standin.metadata.FaultPlan;
import org.damasktiller.verification.owner.CellSimulation.OwnerProcess;
import org.junit.jupiter.api.Test;

/** Tests that the memory of an owner follows the tasks that run, not those that were asked for. */
final class OwnerMemoryTest {

    /** The number of large submissions. */
    private static final int SUBMISSIONS = 8;

    /** The number of steps of each, which depend on no other. */
    private static final int STEPS = 10;

    /** The number of tasks of each step. */
    private static final int TASKS_PER_STEP = 10_000;

    /** The tasks that run at once: four on each of ten workers. */
    private static final int SLOTS = 40;

    /** The tasks that run at once on three workers. */
    private static final long SLOTS_OF_THREE_WORKERS = 12;

    /** The most tasks of a move, which have records while it is tried. */
    private static final int TASKS_PER_MOVE = 64;

    /** The identifier of a single submission. */
    private static final String SUBMISSION = "00000000000000a1";

    /** The part of a line of the log that tells the number of records. */
    private static final Pattern RECORDS = Pattern.compile("records, (\\d+)");

    /** The cell. */
    private final CellSimulation simulation = new CellSimulation(10);

    /** Eight requests of 0.6 KB each took all memory of two entry VMs. */
    @Test
    void tasksThatHaveNotBegunHaveNoRecords() {
        simulation.startOwner();
        submitAll(CellSimulation.longRunningStep(TASKS_PER_STEP));
        simulation.runtime.advance(6_000);
        assertThat(countStarts(), equalTo(SLOTS));
        assertThat(countRecords(simulation), lessThanOrEqualTo(SLOTS + SUBMISSIONS * STEPS));
        assertThat(simulation.invariants.violations(), empty());
    }

    /** What was stored was loaded by each owner in turn, and ended it. */
    @Test
    void takeoversInSeriesLoadNoRecordsOfTasksThatHaveNotBegun() {
        submitAll(CellSimulation.shortStep(TASKS_PER_STEP));
        for (int round = 0; round < 5; round++) {
            OwnerProcess owner = simulation.startOwner();
            simulation.runtime.advance(2_000);
            assertThat(
                    countRecords(simulation),
                    lessThanOrEqualTo(countStarts() + SUBMISSIONS * STEPS));
            owner.kill();
        }
        simulation.startOwner();
        simulation.submit(SUBMISSION, CellSimulation.shortStep(1));
        simulation.runtime.advance(10_000);
        assertThat(simulation.submissionState(SUBMISSION), equalTo(SubmissionState.SUCCEEDED));
        assertThat(
                countRecords(simulation), lessThanOrEqualTo(countStarts() + SUBMISSIONS * STEPS));
        assertThat(simulation.invariants.violations(), empty());
    }

    /** Each task that had ended kept its record as long as its submission was open. */
    @Test
    void tasksThatHaveEndedKeepNoRecords() {
        OwnerProcess owner = simulation.startOwner();
        simulation.submit(
                SUBMISSION,
                CellSimulation.shortStep(600),
                StepSpec.builder(1, new Resources(2_000, 1_000, 0))
                        .after(List.of(0))
                        .lasting(true)
                        .build());
        simulation.runtime.advance(30_000);
        assertThat(countStarts(), equalTo(601));
        assertThat(countRecords(simulation), equalTo(1));
        owner.kill();
        simulation.startOwner();
        simulation.runtime.advance(30_000);
        assertThat(countRecords(simulation), equalTo(1));
        assertThat(countStarts(), equalTo(601));
        for (int index = 0; index < 600; index++) {
            TaskId task = new TaskId(SUBMISSION, 0, 0, index);
            assertThat(simulation.invariants.startCount(task), equalTo(1));
        }
        assertThat(simulation.invariants.violations(), empty());
    }

    /** A gang that fits nowhere waits as a whole. */
    @Test
    void gangThatWaitsHasNoRecordsOfItsMembers() {
        simulation.startOwner();
        simulation.submit(
                SUBMISSION,
                StepSpec.builder(TASKS_PER_STEP, new Resources(2_000, 1_000, 0))
                        .estimateMillis(400)
                        .gang(true)
                        .build());
        simulation.runtime.advance(10_000);
        assertThat(countStarts(), equalTo(0));
        assertThat(countRecords(simulation), lessThanOrEqualTo(1));
        assertThat(simulation.submissionState(SUBMISSION), equalTo(SubmissionState.QUEUED));
    }

    /** Tasks that wait for room in another cell get records as they move. */
    @Test
    void waitingTasksThatMayMoveHaveFewRecords() {
        CellSimulation cells = new CellSimulation(3);
        String otherCell = CellSimulation.CELL + "@0";
        for (int number = 0; number < 14; number++) {
            cells.addWorker("x" + number, otherCell);
        }
        cells.startOwner();
        cells.startOwner(otherCell, FaultPlan.NO_FAULTS, FaultPlan.NO_FAULTS, cells.unreachable);
        cells.runtime.advance(2_000);
        cells.submit(SUBMISSION, CellSimulation.longRunningStep(TASKS_PER_STEP));
        cells.runtime.advance(40_000);
        long starts = cells.logLines.stream().filter(line -> line.contains(" run.start ")).count();
        long movedTasks =
                cells.logLines.stream().filter(line -> line.contains(" task.moved ")).count();
        assertThat(movedTasks, greaterThan(0L));
        assertThat(starts, greaterThan(SLOTS_OF_THREE_WORKERS));
        assertThat(
                (long) countRecords(cells),
                lessThanOrEqualTo(starts + movedTasks + TASKS_PER_MOVE));
        assertThat(cells.invariants.violations(), empty());
    }

    /**
     * Hands in the large submissions.
     *
     * @param step each of their steps
     */
    private void submitAll(StepSpec step) {
        StepSpec[] steps = new StepSpec[STEPS];
        Arrays.fill(steps, step);
        for (int number = 0; number < SUBMISSIONS; number++) {
            simulation.submit("00000000000000b" + number, steps);
        }
    }

    /**
     * Returns the number of tasks for which the owner of the cell has records.
     *
     * @param cells the simulation
     * @return the number in the last line of the log that tells it
     */
    private static int countRecords(CellSimulation cells) {
        String last =
                cells.logLines.stream()
                        .filter(line -> line.contains(" owner.tasks "))
                        .filter(line -> line.contains(", " + CellSimulation.CELL + ","))
                        .reduce((first, second) -> second)
                        .orElseThrow();
        Matcher matcher = RECORDS.matcher(last);
        assertThat(last, matcher.find(), equalTo(true));
        return Integer.parseInt(matcher.group(1));
    }

    /**
     * Counts the starts that owners have sent.
     *
     * @return the number
     */
    private int countStarts() {
        return (int)
                simulation.logLines.stream().filter(line -> line.contains(" run.start ")).count();
    }
}
