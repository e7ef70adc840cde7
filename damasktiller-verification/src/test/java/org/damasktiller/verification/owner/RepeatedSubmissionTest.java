package org.damasktiller.verification.owner;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.equalTo;

import java.util.Set;
import org.damasktiller.scheduler.model.StepSpec;
import org.damasktiller.scheduler.model.SubmissionState;
import org.damasktiller.scheduler.model.TaskId;
import org.damasktiller.standin.metadata.FaultPlan;
import org.damasktiller.verification.owner.CellSimulation.OwnerProcess;
import org.junit.jupiter.api.Test;

/** Tests the occurrences of repeated submissions over changes of the owner. */
final class RepeatedSubmissionTest {

    /** The identifier of the repeated submission. */
    private static final String REPEATED = "00000000000000e1";

    /** The number of its occurrences. */
    private static final int OCCURRENCE_COUNT = 4;

    /** The time between two occurrences, in milliseconds. */
    private static final long INTERVAL_MILLIS = 1_000;

    /** The duration of a task, longer than two intervals, in milliseconds. */
    private static final long TASK_MILLIS = 2_500;

    /** The time at which the owner ends: one occurrence is done, the next two run. */
    private static final long TAKEOVER_MILLIS = 2_800;

    /** The time in which all occurrences are done after any fault, in milliseconds. */
    private static final long RECOVERY_MILLIS = 30_000;

    /** The cell. */
    private final CellSimulation simulation = new CellSimulation(6);

    /** An occurrence that only a killed owner and a crashed worker knew was never begun again. */
    @Test
    void occurrenceOfACrashedWorkerIsBegunAgainByTheNextOwner() {
        OwnerProcess owner = begin();
        simulation.workers.get(workerOf(1)).crash();
        simulation.unreachable.add(workerOf(1));
        owner.kill();
        simulation.startOwner();
        assertAllDone();
        assertThat(startCount(0), equalTo(1));
        assertThat(startCount(1), equalTo(2));
        assertThat(startCount(2), equalTo(1));
        assertThat(startCount(3), equalTo(1));
    }

    /** The worker runs on unseen, and its entry in the stored roster names the task. */
    @Test
    void occurrenceOnAClosedWorkerIsNotBegunAgainBeforeItsLeasesAreOver() {
        OwnerProcess owner = begin();
        simulation.unreachable.add(workerOf(1));
        owner.leave();
        simulation.runtime.advance(200);
        owner.kill();
        simulation.startOwner();
        assertAllDone();
    }

    /** The worker runs on unseen, and the stored roster has it as open. */
    @Test
    void occurrenceOnAnOpenWorkerIsNotBegunAgainBeforeItsLeasesAreOver() {
        OwnerProcess owner = begin();
        owner.kill();
        simulation.startOwner(
                FaultPlan.NO_FAULTS, FaultPlan.NO_FAULTS, Set.of(workerOf(1), workerOf(2)));
        assertAllDone();
    }

    /** The owners that follow each other know of different occurrences. */
    @Test
    void occurrencesAreBegunOnceByOwnersThatAreKilledInSeries() {
        OwnerProcess owner = begin();
        for (int takeover = 0; takeover < OCCURRENCE_COUNT; takeover++) {
            owner.kill();
            simulation.runtime.advance(300);
            owner = simulation.startOwner();
            simulation.runtime.advance(INTERVAL_MILLIS);
        }
        assertAllDone();
        for (int number = 0; number < OCCURRENCE_COUNT; number++) {
            assertThat(startCount(number), equalTo(1));
        }
    }

    /**
     * Starts an owner and the repeated submission.
     *
     * @return the process of the owner
     */
    private OwnerProcess begin() {
        simulation.taskDurationMillis = TASK_MILLIS;
        OwnerProcess owner = simulation.startOwner();
        simulation.submitRepeated(
                REPEATED, OCCURRENCE_COUNT, INTERVAL_MILLIS, stepThatFillsAWorker());
        simulation.runtime.advance(TAKEOVER_MILLIS);
        return owner;
    }

    /**
     * Creates the step of an occurrence, so that no two of them run on one worker.
     *
     * @return a step of one task
     */
    private StepSpec stepThatFillsAWorker() {
        return StepSpec.builder(1, simulation.workers.get("w0").capacity())
                .estimateMillis(TASK_MILLIS)
                .build();
    }

    /** Asserts that all occurrences are done in time, and no rule was broken. */
    private void assertAllDone() {
        simulation.runtime.advance(RECOVERY_MILLIS);
        assertThat(simulation.invariants.violations(), empty());
        assertThat(simulation.submissionState(REPEATED), equalTo(SubmissionState.SUCCEEDED));
    }

    /**
     * Returns how often the task of an occurrence was started.
     *
     * @param number the number of the occurrence
     * @return the number of its runs
     */
    private int startCount(int number) {
        return simulation.invariants.startCount(new TaskId(REPEATED, number, 0, 0));
    }

    /**
     * Returns the worker of an occurrence that runs.
     *
     * @param number the number of the occurrence
     * @return the identifier of the worker to which its start was sent
     */
    private String workerOf(int number) {
        String task = new TaskId(REPEATED, number, 0, 0).toString();
        String line =
                simulation.logLines.stream()
                        .filter(text -> text.contains(" run.start ") && text.contains(task + ","))
                        .findFirst()
                        .orElseThrow();
        return simulation.workers.keySet().stream()
                .filter(id -> line.contains(" " + id + ","))
                .findFirst()
                .orElseThrow();
    }
}
