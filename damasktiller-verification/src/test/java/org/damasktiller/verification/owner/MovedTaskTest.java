package org.damasktiller.verification.owner;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.equalTo;
import static org.hamcrest.Matchers.nullValue;

import java.util.ArrayList;
import java.util.List;
import java.util.Objects;
import org.damasktiller.scheduler.cell.CellKeys;
import org.damasktiller.scheduler.cell.ProgressRecord;
import org.damasktiller.scheduler.cell.StoredValueCodec;
import org.damasktiller.scheduler.model.Resources;
import org.damasktiller.scheduler.model.StepSpec;
import org.damasktiller.scheduler.model.SubmissionRecord;
import org.damasktiller.scheduler.model.SubmissionState;
import org.damasktiller.scheduler.model.TaskId;
import org.damasktiller.scheduler.port.StoreTransaction;
import org.damasktiller.standin.metadata.FaultPlan;
import org.junit.jupiter.api.Test;

/** Tests what the owners of former homes do to tasks that have moved, and how soon all have. */
final class MovedTaskTest {

    /** The identifier of the submission. */
    private static final String SUBMISSION = "00000000000000d1";

    /** The name of the first of the other cells. */
    private static final String OTHER_CELL = CellSimulation.CELL + "@0";

    /** The time in which all tasks must run, in milliseconds, as for a single move. */
    private static final long ALL_RUN_MILLIS = 9_000;

    // The late sign of a crash in the former home must not fail a task that has run since.
    @Test
    void crashThatShowsAfterTheMoveDoesNotFailTaskThatRunsElsewhere() {
        CellSimulation simulation = simulation(1, 1, 3);
        simulation.submit(SUBMISSION, step(1));
        ProgressRecord.Entry entry =
                new ProgressRecord.Entry(0, 0, 0, false, List.of(), 2, true, "", 2, 0, 0, null);
        simulation.store.commit(
                new StoreTransaction()
                        .put(
                                CellKeys.progressPrefix(CellSimulation.CELL) + SUBMISSION,
                                StoredValueCodec.encode(new ProgressRecord(List.of(entry)))));
        startOwners(simulation, 1);
        TaskId task = new TaskId(SUBMISSION, 0, 0, 0);
        while (simulation.invariants.activeRunCount(task) == 0) {
            simulation.runtime.advance(10);
        }
        simulation.workers.get("w0").crash();
        simulation.unreachable.add("w0");
        simulation.runtime.advance(4_000);
        simulation.unregister("w0");
        simulation.runtime.advance(26_000);
        assertThat(simulation.invariants.activeRunCount(task), equalTo(1));
        simulation.addSuccessor("w0");
        simulation.runtime.advance(5_000);

        assertThat(simulation.submissionState(SUBMISSION), equalTo(SubmissionState.QUEUED));
        assertThat(simulation.invariants.activeRunCount(task), equalTo(1));
    }

    // Tasks that stay behind at a move must not begin to wait anew.
    @Test
    void stepThatNeedsSeveralMovesRunsWholeInTime() {
        CellSimulation simulation = simulation(1, 5, 3);
        startOwners(simulation, 5);
        simulation.runtime.advance(2_000);
        simulation.submit(SUBMISSION, step(9));
        simulation.runtime.advance(ALL_RUN_MILLIS);

        assertThat(notRunning(simulation, 9), empty());
    }

    // Workers that tasks of the step have filled are no room that these tasks may still use.
    @Test
    void stepWhoseTasksFillTheirWorkersRunsWhole() {
        CellSimulation simulation = simulation(1, 1, 6);
        startOwners(simulation, 1);
        simulation.runtime.advance(2_000);
        StepSpec large =
                StepSpec.builder(6, new Resources(6_000, 6_000, 0))
                        .estimateMillis(400)
                        .lasting(true)
                        .maximumPerWorker(1)
                        .build();
        simulation.submit(SUBMISSION, large);
        simulation.runtime.advance(60_000);

        assertThat(notRunning(simulation, 6), empty());
    }

    // A worker on probation beside an established long-running task is room for other cells, too.
    @Test
    void taskMovesToWorkerOnProbationThatHostsLongRunningTask() {
        CellSimulation simulation = simulation(1, 1, 4);
        List.of("x01", "x02", "x03").forEach(simulation.unreachable::add);
        startOwnerOfOtherCell(simulation);
        simulation.runtime.advance(1_000);
        submitElsewhere(simulation, "00000000000000a1", CellSimulation.longRunningStep(1));
        simulation.runtime.advance(4_000);
        for (String id : List.of("00000000000000f1", "00000000000000f2")) {
            simulation.failingSubmissions.add(id);
            submitElsewhere(simulation, id, CellSimulation.shortStep(1));
            simulation.runtime.advance(6_000);
        }
        simulation.runtime.advance(10_000);
        simulation.startOwner();
        simulation.runtime.advance(1_000);
        simulation.submit(SUBMISSION, step(2));
        simulation.runtime.advance(20_000);

        assertThat(notRunning(simulation, 2), empty());
    }

    // A cancelled submission must leave no progress in the store.
    @Test
    void cancelledSubmissionLeavesNoProgress() {
        CellSimulation simulation = simulation(1, 1, 3);
        startOwners(simulation, 1);
        simulation.runtime.advance(2_000);
        simulation.submit(SUBMISSION, step(2));
        simulation.runtime.advance(ALL_RUN_MILLIS);
        assertThat(notRunning(simulation, 2), empty());
        simulation.cancel(SUBMISSION);
        simulation.runtime.advance(30_000);

        assertThat(simulation.store.value(CellKeys.parts(SUBMISSION)), nullValue());
        assertThat(
                simulation.store.value(CellKeys.progressPrefix(OTHER_CELL) + SUBMISSION),
                nullValue());
        assertThat(
                simulation.store.value(CellKeys.progressPrefix(CellSimulation.CELL) + SUBMISSION),
                nullValue());
    }

    /**
     * Creates cells without owners.
     *
     * @param workers the number of workers of the first cell
     * @param cells the number of other cells
     * @param each the number of workers of each of them
     * @return the simulation
     */
    private static CellSimulation simulation(int workers, int cells, int each) {
        CellSimulation simulation = new CellSimulation(workers);
        for (int cell = 0; cell < cells; cell++) {
            for (int number = 0; number < each; number++) {
                simulation.addWorker("x" + cell + number, CellSimulation.CELL + '@' + cell);
            }
        }
        return simulation;
    }

    /**
     * Starts the owners of all cells.
     *
     * @param simulation the simulation
     * @param cells the number of other cells
     */
    private static void startOwners(CellSimulation simulation, int cells) {
        simulation.startOwner();
        for (int cell = 0; cell < cells; cell++) {
            simulation.startOwner(
                    CellSimulation.CELL + '@' + cell,
                    FaultPlan.NO_FAULTS,
                    FaultPlan.NO_FAULTS,
                    simulation.unreachable);
        }
    }

    /**
     * Starts the owner of the first of the other cells.
     *
     * @param simulation the simulation
     */
    private static void startOwnerOfOtherCell(CellSimulation simulation) {
        simulation.startOwner(
                OTHER_CELL, FaultPlan.NO_FAULTS, FaultPlan.NO_FAULTS, simulation.unreachable);
    }

    /**
     * Stores a submission as accepted by the first of the other cells.
     *
     * @param simulation the simulation, in which the first cell has no owner
     * @param id the identifier of the submission
     * @param step the only step
     */
    private static void submitElsewhere(CellSimulation simulation, String id, StepSpec step) {
        simulation.submit(id, step);
        String key = CellKeys.openSubmissionsPrefix(CellSimulation.CELL) + id;
        byte[] entry = simulation.store.value(key);
        SubmissionRecord record =
                new SubmissionRecord(
                        OTHER_CELL,
                        "route",
                        SubmissionState.QUEUED,
                        simulation.runtime.unixMillis());
        simulation.store.commit(
                new StoreTransaction()
                        .remove(key)
                        .put(CellKeys.submission(id), StoredValueCodec.encode(record))
                        .put(
                                CellKeys.openSubmissionsPrefix(OTHER_CELL) + id,
                                Objects.requireNonNull(entry)));
    }

    /**
     * Creates a long-running step that allows one task a worker.
     *
     * @param count the number of tasks
     * @return the step
     */
    private static StepSpec step(int count) {
        return StepSpec.builder(count, new Resources(2_000, 1_000, 0))
                .estimateMillis(400)
                .lasting(true)
                .maximumPerWorker(1)
                .build();
    }

    /**
     * Lists the tasks that do not run once.
     *
     * @param simulation the simulation
     * @param count the number of tasks
     * @return the tasks
     */
    private static List<TaskId> notRunning(CellSimulation simulation, int count) {
        List<TaskId> tasks = new ArrayList<>();
        for (int index = 0; index < count; index++) {
            TaskId task = new TaskId(SUBMISSION, 0, 0, index);
            if (simulation.invariants.activeRunCount(task) != 1) {
                tasks.add(task);
            }
        }
        return tasks;
    }
}
